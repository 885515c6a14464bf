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

// A machine that hung before the failover is returned by the new leader, so that its replica does
// not wait for a lease to expire with every leader.
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
	for i := range 5 {                                   // booting machines are not unresponsive
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

// makeUnresponsive lets machines with a replica each become unresponsive while others report,
// and probes them until they count as unreachable.
func (s *testCluster) makeUnresponsive(leader *leader, node *Service, zones []string, others int) {
	s.tb.Helper()
	var unresponsive []*standin.Worker
	for i, z := range zones {
		worker := s.worker(fmt.Sprintf("n-1%d", i), z, false)
		heartbeat(s.tb, leader, worker)
		unresponsive = append(unresponsive, worker)
	}
	s.submit(node, jobSpec("j-1", func(spec *wire.Spec) {
		spec.Kind, spec.Priority, spec.Preemptible, spec.Tasks = wire.KindService, "critical", false, len(zones)
	}))
	s.resync(leader)
	s.settle(leader)
	for _, worker := range unresponsive {
		heartbeat(s.tb, leader, worker)
		worker.SetUnreachable(true)
	}
	var reporting []*standin.Worker
	for i := range others {
		reporting = append(reporting, s.worker(fmt.Sprintf("n-2%02d", i), "y", true))
	}
	for range 2 {
		for _, worker := range reporting {
			heartbeat(s.tb, leader, worker)
		}
		s.advance(3 * time.Second)
	}
	for _, worker := range reporting {
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

// Unresponsive machines with replicas are returned in one request.
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

// A zone in which all machines are unresponsive is partitioned: its replicas run on until their
// leases expire, so its machines are replaced, but not returned.
func TestPartitionedZoneIsNotReturned(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	cluster.makeUnresponsive(leader, node, []string{"x", "x", "x"}, 18)
	if got := cluster.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	leader.mu.Lock()
	unreachable := leader.detector.UnreachableCount()
	leader.mu.Unlock()
	if unreachable != 3 {
		t.Errorf("%d machines unreachable, want 3", unreachable)
	}
}

// A machine that receives nothing goes on reporting while commands to it have no effect. It gets no
// more work, the cloud confirms that its task is gone, and it is returned.
func TestUnacknowledgingMachineIsReturned(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	for i := range 4 { // others that acknowledge, so that the fault is not the leader's
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

// A machine that acknowledges commands again is trusted again.
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
		t.Fatal("not quarantined")
	}
	worker.SetUnreachable(false)
	heartbeat(t, leader, worker)
	cluster.reportAndSettle(leader, worker)
	if !cluster.machineUsable(leader, "n-1") || leader.fleet.Machine("n-1").QuarantineReason != "" || len(worker.StartedAttempts()) != 1 {
		t.Errorf("quarantined %q after it acknowledged again, starts %v", leader.fleet.Machine("n-1").QuarantineReason, worker.StartedAttempts())
	}
}

// A machine that was unresponsive gets no work after one report, which may have been delayed all
// the while; its response to a probe is recent.
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

// A worker that returns at once as a new process counts its sequence from the start. It is not
// ignored, and its predecessor's task starts once more, once.
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

// A new leader that probes workers may be too busy to receive the responses: workers that report
// are not unreachable for that, and are not returned.
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

// A worker reports a new token at once, but not twice within half a lease. Where leaders change
// faster, it is probed, so that it need not be idle until its next regular report.
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
