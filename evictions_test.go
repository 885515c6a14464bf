package cedardoor

import (
	"testing"
	"time"

	"cedardoor/fleet"
	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// Guards against work that stays on a quarantined machine for ever: a team at its limit can't have
// its task reserved on two machines, so the task is stopped first and started elsewhere then, once.
func TestQuarantinedMachineIsEmptiedAtTeamLimit(t *testing.T) {
	for _, tt := range []struct {
		name  string
		limit float64
	}{{"at the limit", 4}, {"below the limit", 8}} {
		t.Run(tt.name, func(t *testing.T) {
			cluster := newTestCluster(t)
			node := cluster.node(withTeamLimit(tt.limit))
			leader, _ := cluster.elect(node)
			worker, other := cluster.worker("n-1", "x", true), cluster.worker("n-2", "y", true)
			heartbeat(t, leader, worker)
			cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) {
				spec.Kind, spec.Priority, spec.Tasks = wire.KindService, "critical", 2
			}))
			cluster.syncAndSettle(leader)
			cluster.reportAndSettle(leader, worker)
			leader.mu.Lock()
			leader.fleet.Machine("n-1").QuarantineReason = fleet.QuarantineSlow
			leader.fleet.MachineChanged(leader.fleet.Machine("n-1"))
			leader.mu.Unlock()
			heartbeat(t, leader, other)
			for range 4 {
				cluster.repairRound(leader)
				if used := leader.quota.Usage("team").Total.Cores.Decimal(); used > tt.limit {
					t.Fatalf("the team uses %v cores, limit %v", used, tt.limit)
				}
				cluster.reportAndSettle(leader, worker, other)
				cluster.advance(time.Second)
			}
			if got := worker.LiveTasks(); len(got) != 0 {
				t.Errorf("still on the quarantined machine: %v", got)
			}
			if got := startCount([]*standin.Worker{other}, "j-1"); got != 2 || len(other.LiveTasks()) != 2 {
				t.Errorf("%d starts on the other machine, %v run; want each replica once", got, other.LiveTasks())
			}
		})
	}
}
