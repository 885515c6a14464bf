package cedardoor

import (
	"cedardoor/fleet"
	"testing"
	"time"

	"cedardoor/cloud"
	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// A process may stand still, longer than its lease, at any point. Whatever it had
// computed before and is about to send is checked against the lease at the last
// step, so that nothing of it goes out after.
func TestNothingOfBeforeGoesOutAfterStandingStill(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	l.mu.Lock()
	now := l.clock.Now()
	l.runPlan(now)
	write := l.buildTransaction()
	l.mu.Unlock()
	if !l.commit(t.Context(), write) {
		t.Fatal("placement not recorded")
	}
	l.mu.Lock()
	command := l.fleet.PrepareCommand(l.fleet.Machine("n-1"), now, 1, fleet.AllCommands)
	l.mu.Unlock()
	if command == nil || len(command.Commands) != 1 {
		t.Fatalf("no command is about to be sent: %+v", command)
	}
	rep := w.Report()
	s.disconnect(n) // nothing of this node's renewals gets through any more
	s.clock.Advance(32 * time.Second)

	l.sendCommand(t.Context(), command)
	if got := w.Starts(); len(got) != 0 {
		t.Errorf("a direct command of before was sent: %v", got)
	}
	l.returnMachines(t.Context(), []string{"n-1"})
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("a machine was returned on what was known before: %v", got)
	}
	l.rentMachines(t.Context(), cloud.Rental{MachineType: "b", Zone: "x", Count: 3})
	if got := s.cloud.Asked(); len(got) != 0 {
		t.Errorf("machines were rented on what was known before: %v", got)
	}
	if _, ok := l.Heartbeat(&rep); ok {
		t.Error("a heartbeat was answered")
	}
	if l.fleet.Machine("n-1").NotAcknowledging() {
		t.Error("a command that was not sent counts as a sign of deafness")
	}
	// The successor counts the recorded attempt as possible, though it was never sent.
	b := s.node(nil)
	gb, _ := s.elect(b)
	gb.mu.Lock()
	defer gb.mu.Unlock()
	if pc := gb.jobs.Get("j-1").Tasks[0]; pc.Allocation == nil || pc.Allocation.Machine.Name != "n-1" {
		t.Error("the successor does not count an attempt that may have been sent")
	}
}

// A leader that keeps its lease while it stands still (the state service was out
// for all) has heard nobody meanwhile. That is its own silence, not the machines':
// nothing is given up, and the lead is kept.
func TestStandingStillIsNoSilence(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	hosts := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	var first *standin.Worker
	for i, h := range hosts {
		w := s.worker(h, []string{"x", "y"}[i%2], i > 2)
		heartbeat(t, l, w)
		if first == nil {
			first = w
		}
	}
	for _, h := range hosts {
		l.mu.Lock()
		l.fleet.Machine(h).CloudStatus = wire.MachineRunning
		l.mu.Unlock()
	}
	l.checkPause()
	s.advance(50 * time.Second)
	l.checkPause()
	l.autoscale(t.Context())
	l.pass(t.Context())
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned on waking: %v", got)
	}
	for _, h := range hosts {
		if l.fleet.Machine(h).Returning {
			t.Errorf("%s is to be returned", h)
		}
	}
	if _, ok := n.elector.MayAnswerHeartbeats(); !ok {
		t.Error("gave the lead up on waking")
	}
	// From then on silence counts as ever, while one is heard.
	for range 50 {
		s.advance(time.Second)
		s.resync(l) // no watch runs here, and a leader that reads nothing gives up
		l.checkPause()
		heartbeat(t, l, first)
	}
	l.autoscale(t.Context())
	if len(s.cloud.Returns()) == 0 {
		t.Error("silence after waking is not counted")
	}
}
