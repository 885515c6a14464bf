package cedardoor

import (
	"cedardoor/fleet"
	"testing"
	"time"

	"cedardoor/cloud"
	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// A process may be paused at any point for longer than its lease. Whatever it was about to send is
// checked against the lease at the last step, so that nothing of it is sent after the pause.
func TestNothingIsSentAfterProcessPause(t *testing.T) {
	cluster, node, leader, worker := clusterWithWorker(t)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.resync(leader)
	leader.mu.Lock()
	now := leader.clock.Now()
	leader.runPlan(now)
	transaction := leader.buildTransaction()
	leader.mu.Unlock()
	if !leader.commit(t.Context(), transaction) {
		t.Fatal("placement not recorded")
	}
	leader.mu.Lock()
	command := leader.fleet.PrepareCommand(leader.fleet.Machine("n-1"), now, 1, fleet.AllCommands)
	leader.mu.Unlock()
	if command == nil || len(command.Commands) != 1 {
		t.Fatalf("no command is about to be sent: %+v", command)
	}
	report := worker.Report()
	cluster.disconnect(node) // nothing of this node's renewals gets through any more
	cluster.clock.Advance(32 * time.Second)

	leader.sendCommand(t.Context(), command)
	if got := worker.StartedAttempts(); len(got) != 0 {
		t.Errorf("a direct command of before was sent: %v", got)
	}
	leader.returnMachines(t.Context(), []string{"n-1"})
	if got := cluster.cloud.Returns(); len(got) != 0 {
		t.Errorf("a machine was returned on what was known before: %v", got)
	}
	leader.rentMachines(t.Context(), cloud.Rental{MachineType: "b", Zone: "x", Count: 3})
	if got := cluster.cloud.RentalRequests(); len(got) != 0 {
		t.Errorf("machines were rented on what was known before: %v", got)
	}
	if _, ok := leader.Heartbeat(&report); ok {
		t.Error("a heartbeat was answered")
	}
	if leader.fleet.Machine("n-1").NotAcknowledging() {
		t.Error("a command that was not sent counts as not acknowledged")
	}
	// The successor counts the recorded attempt as possible, though it was never sent.
	nodeB := cluster.node(nil)
	newLeader, _ := cluster.elect(nodeB)
	newLeader.mu.Lock()
	defer newLeader.mu.Unlock()
	if pc := newLeader.jobs.Get("j-1").Tasks[0]; pc.Allocation == nil || pc.Allocation.Machine.Name != "n-1" {
		t.Error("the successor does not count an attempt that may have been sent")
	}
}

// A leader that keeps its lease through a pause (the state service was down for all) has received
// no heartbeats meanwhile. That is no failure of the machines: none is given up, and the leader
// does not resign.
func TestProcessPauseIsNotMachineFailure(t *testing.T) {
	cluster, node, leader := clusterWithLeader(t)
	hosts := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	var first *standin.Worker
	for i, h := range hosts {
		worker := cluster.worker(h, []string{"x", "y"}[i%2], i > 2)
		heartbeat(t, leader, worker)
		if first == nil {
			first = worker
		}
	}
	for _, h := range hosts {
		leader.mu.Lock()
		leader.fleet.Machine(h).CloudStatus = wire.MachineRunning
		leader.mu.Unlock()
	}
	leader.checkPause()
	cluster.advance(50 * time.Second)
	leader.checkPause()
	leader.autoscale(t.Context())
	leader.pass(t.Context())
	if got := cluster.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned after the pause: %v", got)
	}
	for _, h := range hosts {
		if leader.fleet.Machine(h).Returning {
			t.Errorf("%s is to be returned", h)
		}
	}
	if _, ok := node.elector.MayAnswerHeartbeats(); !ok {
		t.Error("resigned after the pause")
	}
	// From then on missing heartbeats count as ever, while one worker reports.
	for range 50 {
		cluster.advance(time.Second)
		cluster.resync(leader) // no watch runs here, and a leader that reads nothing gives up
		leader.checkPause()
		heartbeat(t, leader, first)
	}
	leader.autoscale(t.Context())
	if len(cluster.cloud.Returns()) == 0 {
		t.Error("missing heartbeats after the pause are not counted")
	}
}
