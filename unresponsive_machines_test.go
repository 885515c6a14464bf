package cedardoor

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/detector"
	"cedardoor/internal/standin"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// A machine that hung before the leaders changed is returned by the new one,
// so that its replica does not wait out a lease with every leader.
func TestHungMachineIsReturnedByNextLeader(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	oldLeader, stop := cluster.elect(nodeA)
	worker := cluster.worker("n-1", "x", false)
	heartbeat(t, oldLeader, worker)
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) {
		spec.Kind, spec.Priority, spec.Preemptible = wire.KindService, "critical", false
	}))
	cluster.syncAndSettle(oldLeader)
	stop()
	newLeader, _ := cluster.elect(nodeB)
	other := cluster.worker("n-2", "y", false)
	leader := newLeader
	leader.mu.Lock()
	leader.fleet.Machine("n-1").Endpoint = "127.0.0.1:1" // nobody answers there
	for i := range 5 {                                   // booting machines are not silent ones
		machine := leader.fleet.Ensure(fmt.Sprintf("n-9%d", i), leader.clock.Now()+8*clock.Second)
		machine.Endpoint, machine.Type, machine.Zone, machine.CloudStatus = "127.0.0.1:1", "b", "x", wire.MachineBooting
	}
	leader.mu.Unlock()
	for range 3 {
		cluster.advance(3 * time.Second)
		heartbeat(t, newLeader, other)
	}
	for range detector.UnreachableAfterProbes {
		leader.detector.RecheckSilent()
		leader.probeSilentMachines(t.Context())
		for probing := true; probing; runtime.Gosched() {
			leader.mu.Lock()
			machine := leader.fleet.Machine("n-1")
			probing = machine != nil && machine.Probing
			leader.mu.Unlock()
		}
	}
	leader.detector.RecheckSilent()
	leader.probeSilentMachines(t.Context())
	for gone := false; !gone; runtime.Gosched() {
		leader.mu.Lock()
		gone = leader.fleet.Machine("n-1") == nil
		leader.mu.Unlock()
	}
	cluster.settle(newLeader)
	if got := other.StartedAttempts(); len(got) != 1 {
		t.Errorf("replica not replaced: %v", got)
	}
}

// makeUnresponsive lets machines with a replica each fall silent while others report,
// and asks them until they count as mute.
func (s *testCluster) makeUnresponsive(leader *leader, node *Service, zones []string, others int) {
	s.tb.Helper()
	var hung []*standin.Worker
	for i, z := range zones {
		worker := s.worker(fmt.Sprintf("n-1%d", i), z, false)
		heartbeat(s.tb, leader, worker)
		hung = append(hung, worker)
	}
	s.submit(node, jobSpec("j-1", func(spec *wire.Spec) {
		spec.Kind, spec.Priority, spec.Preemptible, spec.Tasks = wire.KindService, "critical", false, len(zones)
	}))
	s.resync(leader)
	s.settle(leader)
	for _, worker := range hung {
		heartbeat(s.tb, leader, worker)
		worker.SetUnreachable(true)
	}
	var rest []*standin.Worker
	for i := range others {
		rest = append(rest, s.worker(fmt.Sprintf("n-2%02d", i), "y", true))
	}
	for range 2 {
		for _, worker := range rest {
			heartbeat(s.tb, leader, worker)
		}
		s.advance(3 * time.Second)
	}
	for _, worker := range rest {
		heartbeat(s.tb, leader, worker)
	}
	for range detector.UnreachableAfterProbes {
		leader.detector.RecheckSilent()
		leader.probeSilentMachines(s.tb.Context())
		s.settle(leader)
	}
	leader.detector.RecheckSilent()
	leader.probeSilentMachines(s.tb.Context())
}

// Silent machines with replicas are returned together, in one request.
func TestUnresponsiveMachinesAreReturnedTogether(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	cluster.makeUnresponsive(leader, node, []string{"y", "y"}, 12)
	for len(cluster.cloud.Returns()) == 0 {
		runtime.Gosched()
	}
	if got := cluster.cloud.Returns(); len(got) != 1 || !cmp.Equal(got[0], []string{"n-10", "n-11"}) {
		t.Errorf("returned %v", got)
	}
}

// A zone that falls silent as a whole is cut off: its replicas run on until
// their leases end, so it is replaced, but not returned.
func TestPartitionedZoneIsNotReturned(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	cluster.makeUnresponsive(leader, node, []string{"x", "x", "x"}, 18)
	if got := cluster.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	leader.mu.Lock()
	muted := leader.detector.UnreachableCount()
	leader.mu.Unlock()
	if muted != 3 {
		t.Errorf("%d machines unreachable, want 3", muted)
	}
}

// A deaf machine reports on while nothing told to it takes effect. It gets no
// more work, its task is settled by the cloud's word, and it is gone.
func TestUnacknowledgingMachineIsReturned(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	for i := range 4 { // others that hear, so that the fault is not the leader's
		heartbeat(t, leader, cluster.worker(fmt.Sprintf("n-9%d", i), "z", false))
	}
	other := cluster.worker("n-2", "y", true)
	worker.SetUnreachable(true)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	for range 4 {
		cluster.advance(3 * time.Second)
		deliverReport(t, leader, worker.Report()) // its answer is lost
		cluster.settle(leader)
	}
	if cluster.machineUsable(leader, "n-1") {
		t.Fatal("still given work")
	}
	heartbeat(t, leader, other)
	if len(other.StartedAttempts()) != 0 {
		t.Fatal("its task was started elsewhere without proof")
	}
	for known := true; known; {
		leader.detector.RecheckSilent()
		leader.probeSilentMachines(t.Context())
		leader.mu.Lock()
		known = leader.fleet.Machine("n-1") != nil
		leader.mu.Unlock()
	}
	// Whatever still comes from it is an old copy and brings nothing back.
	deliverReport(t, leader, worker.Report())
	leader.mu.Lock()
	back := leader.fleet.Machine("n-1") != nil
	leader.mu.Unlock()
	if back {
		t.Error("a returned machine came back with a late report")
	}
	cluster.settle(leader)
	if got := other.StartedAttempts(); len(got) != 1 {
		t.Errorf("its task was not started elsewhere: %v", got)
	}
}

// A machine that hears again is trusted again.
func TestUnacknowledgingMachineRecovers(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	leader.operator.Fleet.Enabled = false // nothing is returned
	worker.SetUnreachable(true)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	for range 4 {
		cluster.advance(3 * time.Second)
		deliverReport(t, leader, worker.Report())
		cluster.settle(leader)
	}
	if cluster.machineUsable(leader, "n-1") && leader.fleet.Machine("n-1").QuarantineReason == "" {
		t.Fatal("not banned")
	}
	worker.SetUnreachable(false)
	heartbeat(t, leader, worker)
	cluster.reportAndSettle(leader, worker)
	if !cluster.machineUsable(leader, "n-1") || leader.fleet.Machine("n-1").QuarantineReason != "" || len(worker.StartedAttempts()) != 1 {
		t.Errorf("banned %q after it heard again, starts %v", leader.fleet.Machine("n-1").QuarantineReason, worker.StartedAttempts())
	}
}

// A machine that was silent is not given work on the word of one report, which
// may have been held back all the while; its answer to a question is of now.
func TestUnresponsiveMachineMustAnswerProbe(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	held := worker.Report()
	cluster.advance(8 * time.Second)
	worker.SetUnreachable(true)
	deliverReport(t, leader, held)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	if cluster.machineUsable(leader, "n-1") || len(worker.StartedAttempts()) != 0 {
		t.Fatal("revived by a late copy")
	}
	worker.SetUnreachable(false)
	cluster.reportAndSettle(leader, worker)
	cluster.reportAndSettle(leader, worker)
	if !cluster.machineUsable(leader, "n-1") || len(worker.StartedAttempts()) != 1 {
		t.Errorf("not trusted after it answered; starts %v", worker.StartedAttempts())
	}
}

// A worker that is back within a moment as a new process counts from the start
// again. It is not ignored, and its predecessor's task starts once more, once.
func TestWorkerProcessRestart(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	for range 5 {
		heartbeat(t, leader, worker)
	}
	worker.Restart()
	for range 3 {
		cluster.advance(time.Second)
		report := worker.Report()
		worker.HandleResponse(deliverReport(t, leader, report))
		cluster.settle(leader)
	}
	if got := worker.LiveTasks(); !cmp.Equal(got, []string{"j-1/0"}) || len(worker.StartedAttempts()) != 2 {
		t.Errorf("on the machine %v, starts %v", got, worker.StartedAttempts())
	}
	if !cluster.machineUsable(leader, "n-1") {
		t.Error("the new process is ignored")
	}
}

// A new leader that asks for such proof may be too busy to hear the answers:
// workers that report are not mute for that, and are not returned.
func TestProbesLostInSurgeReturnNothing(t *testing.T) {
	const machines = 12
	cluster, leader := adoptedFleet(t, machines, 2)
	for sequence := uint64(1); sequence < 5; sequence++ {
		for i := range machines {
			report := fleetReport(i, 2, sequence, 0)
			report.Endpoint = "127.0.0.1:1" // nothing answers there
			if _, ok := leader.Heartbeat(report); !ok {
				t.Fatal("not answered")
			}
		}
		cluster.advance(time.Second)
		cluster.settle(leader)
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	if leader.detector.UnconfirmedCount() != 0 || leader.detector.UnreachableCount() != 0 {
		t.Errorf("%d workers wait to be probed and %d that report count as unreachable", leader.detector.UnconfirmedCount(), leader.detector.UnreachableCount())
	}
	if got := cluster.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
}

// A worker tells of a new token at once, but not twice within half a lease.
// Where leaders change faster, it is asked, so that it need not stand idle until
// its next regular report.
func TestWorkerIsProbedForToken(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	worker := cluster.worker("n-1", "x", true)
	report := worker.Report()
	response, _ := leader.Heartbeat(&report)
	worker.HandleResponse(response)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.syncAndSettle(leader)
	if cluster.machineUsable(leader, "n-1") || len(worker.StartedAttempts()) != 0 {
		t.Fatal("trusted on a report that may be a copy")
	}
	cluster.advance(time.Second)
	cluster.settle(leader)
	if !cluster.machineUsable(leader, "n-1") || len(worker.StartedAttempts()) != 1 {
		t.Errorf("not trusted after its answer to a question; started %v", worker.StartedAttempts())
	}
}
