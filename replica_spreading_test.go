package cedardoor

import (
	"fmt"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// sharedReplicas is how many replicas share a machine in these tests. One repair round may move all
// but one of them.
const sharedReplicas = 4

// submitSharedReplicas submits a service whose replicas all start on a cluster's only worker. Then
// it adds as many workers, which hold the image.
func (s *testCluster) submitSharedReplicas(node *Service, leader *leader, worker *standin.Worker) (others []*standin.Worker) {
	s.tb.Helper()
	s.submit(node, jobSpec("j-1", func(spec *wire.Spec) {
		spec.Kind, spec.Priority, spec.Tasks = wire.KindService, "critical", sharedReplicas
	}))
	s.syncAndSettle(leader)
	s.reportAndSettle(leader, worker)
	if got := worker.LiveTasks(); len(got) != sharedReplicas {
		s.tb.Fatalf("on the machine: %v, want %d replicas", got, sharedReplicas)
	}
	for i := range sharedReplicas {
		others = append(others, s.worker(fmt.Sprintf("n-2%d", i), "y", true))
	}
	s.joinWithImage(leader, others)
	return others
}

// joinWithImage makes workers report to a leader, and their machines hold the image of jobSpec.
func (s *testCluster) joinWithImage(leader *leader, workers []*standin.Worker) {
	s.tb.Helper()
	for _, worker := range workers {
		heartbeat(s.tb, leader, worker)
		leader.mu.Lock()
		machine := leader.fleet.Machine(worker.Identity.Machine)
		machine.Images["img"] = true
		leader.fleet.MachineChanged(machine)
		leader.mu.Unlock()
	}
}

// repairRound makes a leader's next plan a repair round, and settles.
func (s *testCluster) repairRound(leader *leader) {
	s.tb.Helper()
	leader.mu.Lock()
	leader.planInput.RepairNow()
	leader.mu.Unlock()
	s.settle(leader)
}

// checkAllButOneMoved makes all workers report until the moves are finished, and checks that one
// replica stayed where all were, and that each other one was restarted once.
func (s *testCluster) checkAllButOneMoved(leader *leader, worker *standin.Worker, others []*standin.Worker) {
	s.tb.Helper()
	for range 3 {
		s.reportAndSettle(leader, append([]*standin.Worker{worker}, others...)...)
		s.repairRound(leader)
	}
	if got := worker.LiveTasks(); len(got) != 1 {
		s.tb.Errorf("still on the shared machine: %v, want one replica", got)
	}
	if got := startCount(others, "j-1"); got != sharedReplicas-1 {
		s.tb.Errorf("%d replicas were restarted elsewhere, want %d", got, sharedReplicas-1)
	}
	if got := startCount([]*standin.Worker{worker}, "j-1"); got != sharedReplicas {
		s.tb.Errorf("%d starts on the shared machine, want no more than the first %d", got, sharedReplicas)
	}
}

// Guards against a needless restart: of replicas that share a machine, all but one are moved, also if
// rounds go by while the stops are unconfirmed because the machine is silent or does not obey.
func TestOneOfSharedReplicasStays(t *testing.T) {
	for _, tt := range []struct {
		name          string
		betweenRounds func(leader *leader, worker *standin.Worker)
	}{
		{"silent machine", func(*leader, *standin.Worker) {}},
		{"reports that show no stop", reportWithoutResponse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cluster, node, leader, worker := clusterWithWorker(t)
			others := cluster.submitSharedReplicas(node, leader, worker)
			worker.SetUnreachable(true)
			for range 3 {
				cluster.repairRound(leader)
				tt.betweenRounds(leader, worker)
			}
			worker.SetUnreachable(false)
			cluster.checkAllButOneMoved(leader, worker, others)
		})
	}
}

// Guards against a needless restart: a new leader that begins while its predecessor's moves are
// under way moves all but one of the replicas that share a machine, whether the stops have taken
// effect or not.
func TestNextLeaderLeavesOneSharedReplica(t *testing.T) {
	for _, stopsTakeEffect := range []bool{false, true} {
		t.Run(fmt.Sprintf("stops take effect=%t", stopsTakeEffect), func(t *testing.T) {
			cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
			oldLeader, stop := cluster.elect(nodeA)
			worker := cluster.worker("n-1", "x", true)
			heartbeat(t, oldLeader, worker)
			others := cluster.submitSharedReplicas(nodeA, oldLeader, worker)
			worker.SetUnreachable(true)
			cluster.repairRound(oldLeader)
			if stopsTakeEffect {
				report := worker.Report()
				response, _ := oldLeader.Heartbeat(&report)
				worker.HandleResponse(response)
			}
			stop()
			newLeader, _ := cluster.elect(nodeB)
			cluster.joinWithImage(newLeader, others)
			cluster.repairRound(newLeader)
			worker.SetUnreachable(false)
			cluster.checkAllButOneMoved(newLeader, worker, others)
		})
	}
}
