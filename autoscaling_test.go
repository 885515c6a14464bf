package cedardoor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// bootingFleet is a leader that asked for so many machines some time ago; the list
// shows them, and none has come up.
func bootingFleet(t *testing.T, n int, ago time.Duration) (*testCluster, *leader) {
	t.Helper()
	s := newTestCluster(t)
	node := s.node(nil)
	l, _ := s.elect(node)
	addRentals(l, 0, n)
	s.advance(ago)
	return s, l
}

func addRentals(l *leader, from, n int) {
	now := l.clock.Now()
	for i := from; i < from+n; i++ {
		machine := l.fleet.Ensure(fmt.Sprintf("n-%02d", i), now)
		l.fleet.Describe(machine, "e", "b", "x", true)
		machine.CloudStatus, machine.ListedAt = wire.MachineBooting, now
		l.autoscaler.Rented(wire.RentRequest{RequestID: machine.Name}, []string{machine.Name}, now, now)
	}
}

func (l *leader) markUp(from, n int) {
	for i := from; i < from+n; i++ {
		machine := l.fleet.Machine(fmt.Sprintf("n-%02d", i))
		machine.Reported, machine.LastHeartbeat = true, l.clock.Now()
		l.autoscaler.MachineUp(machine, l.clock.Now())
	}
}

func overdueCounts(l *leader) (out, givenUp int) {
	overdue := l.autoscaler.Overdue(l.scalingView(l.clock.Now()))
	return len(overdue.Replace), len(overdue.Return)
}

// A machine that stays away while others come is replaced and returned long
// before the whole of the patience with it.
func TestOneMachineThatNeverComes(t *testing.T) {
	s, l := bootingFleet(t, 10, 30*time.Second)
	l.markUp(1, 9)
	if out, up := overdueCounts(l); out != 0 || up != 0 {
		t.Errorf("in its time: %d counted out, %d given up", out, up)
	}
	s.advance(22 * time.Second) // 52 s of the 30 that its type takes
	if out, up := overdueCounts(l); out != 1 || up != 1 {
		t.Errorf("late: %d counted out, %d given up, want it", out, up)
	}
	for _, share := range l.autoscaler.BootShares() {
		if share < 0.99 || share > 1.01 {
			t.Errorf("a boot of 30 s was taken for %.2f of the stated time", share)
		}
	}
}

// When all come late, neither a second fleet is rented on top nor all are
// returned and rented anew; when new ones come in time again, the rest goes.
func TestAllMachinesComeLate(t *testing.T) {
	s, l := bootingFleet(t, 20, 60*time.Second)
	if out, up := overdueCounts(l); out == 0 || out > 6 || up != 0 {
		t.Errorf("all late: %d counted out, %d given up, want a part and none", out, up)
	}
	s.advance(30 * time.Second)
	l.markUp(0, 8) // at three times the stated time
	s.advance(40 * time.Second)
	if out, up := overdueCounts(l); out == 0 || out > 4 || up != 0 {
		t.Errorf("at 4.3 times, others having come at 3: %d counted out, %d given up", out, up)
	}
	addRentals(l, 20, 12)
	s.advance(20 * time.Second)
	l.markUp(20, 12)
	if out, up := overdueCounts(l); out != 12 || up != 12 {
		t.Errorf("new ones come in time: %d counted out, %d given up, want the 12 left", out, up)
	}
}

// A machine may report before the rental is answered and before any list shows
// it: it counts once, and nothing is rented in its stead.
func TestMachineUpAtOnce(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) {
		sp.Cores, sp.Preemptible, sp.Kind, sp.Priority = 6, false, wire.KindService, "critical"
	}))
	s.resync(l)
	l.autoscale(t.Context())
	hosts := s.cloud.Hosts()
	if len(hosts) == 0 {
		t.Fatal("nothing rented")
	}
	for _, h := range hosts {
		w := s.worker(h.UID, h.Zone, h.Preemptible)
		heartbeat(t, l, w)
	}
	for range 5 {
		s.advance(time.Second)
		l.autoscale(t.Context())
	}
	if more := len(s.cloud.Hosts()) - len(hosts); more != 0 || len(s.cloud.Returns()) != 0 {
		t.Errorf("%d more rented, returned %v", more, s.cloud.Returns())
	}
	for _, share := range l.autoscaler.BootShares() {
		if share > float64(2*clock.Second)/float64(30*clock.Second) {
			t.Errorf("boot taken for %.2f of the stated time", share)
		}
	}
}

// A leader that hears no worker any more is cut off itself: it rents no second
// fleet before it gives the lead up.
func TestNothingIsRentedByALeaderThatHearsNobody(t *testing.T) {
	for _, machines := range []int{3, 14} {
		s, n, l, ws := clusterWithWorkers(t, machines)
		s.submit(n, jobSpec("j-1", func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.Kind, sp.Priority, sp.ExpectedS = machines, 6, wire.KindService, "critical", 0
		}))
		s.resync(l)
		s.runSeconds(l, ws, 20)
		for range 4 {
			l.autoscale(t.Context()) // what is short is rented while they are heard
		}
		before := len(s.cloud.Asked())
		for range 8 {
			s.advance(time.Second)
			l.pass(t.Context())
			l.autoscale(t.Context())
		}
		if more := s.cloud.Asked()[before:]; len(more) != 0 {
			t.Errorf("%d machines silent at once: rented %+v", machines, more)
		}
	}
}

// A rental whose answer was lost is repeated under its own name and rents nothing more.
func TestLostRentalAnswer(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.cloud.LoseNext = true
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Preemptible = false }))
	s.resync(l)
	if err := l.readMachineList(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for s.clock.BlockUntilContext(ctx, 2) == nil {
			s.clock.Advance(time.Second)
		}
	}()
	l.autoscale(t.Context())
	cancel()
	asked := s.cloud.Asked()
	if len(asked) != 2 || asked[0].RequestID != asked[1].RequestID || len(s.cloud.Hosts()) != 1 {
		t.Fatalf("asked %v, rented %v", asked, s.cloud.Hosts())
	}
}

// With no work at all, the machines that were held for more are given back.
func TestNoWorkGivesMachinesBack(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	l.mu.Lock()
	l.autoscaler.Demand(l.scalingView(l.clock.Now()))
	l.mu.Unlock()
	w.End("j-1/0", wire.CauseDone)
	heartbeat(t, l, w)
	s.settle(l)
	s.advance(20 * time.Second)
	l.mu.Lock()
	held := l.autoscaler.Demand(l.scalingView(l.clock.Now())).Preemptible.Cores
	l.mu.Unlock()
	if held == 0 {
		t.Error("nothing is held right after work was there")
	}
	s.advance(30 * time.Second)
	l.mu.Lock()
	need := l.autoscaler.Demand(l.scalingView(l.clock.Now()))
	l.mu.Unlock()
	if need.Preemptible.Cores != 0 || need.KeepPreemptible != 0 || need.KeepOnDemand != 0 {
		t.Errorf("still held: %+v", need)
	}
}

// Machines that have not had the time to find the new leader are neither replaced nor returned.
func TestMachinesThatAreYetToReportAreNotReplaced(t *testing.T) {
	const replicas = 12
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) {
		sp.Tasks, sp.Cores, sp.Kind, sp.Priority, sp.ExpectedS, sp.Preemptible = replicas, 8, wire.KindService, "critical", 0, false
	}))
	s.resync(l)
	for range 4 {
		l.autoscale(t.Context())
	}
	var ws []*standin.Worker
	for _, h := range s.cloud.Hosts() {
		ws = append(ws, s.worker(h.UID, h.Zone, h.Preemptible))
	}
	if len(ws) < replicas {
		t.Fatalf("%d machines rented", len(ws))
	}
	s.runSeconds(l, ws, 10)
	next := s.node(nil)
	next.cfg.Others = []config.Node{{Node: "node-8"}, {Node: "node-9"}}
	s.disconnect(n)
	s.clock.Advance(10 * time.Second)
	gb, _ := s.elect(next)
	if err := gb.readMachineList(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := len(s.cloud.Asked())
	for second := range 14 {
		s.advance(time.Second)
		found := ws[:2]
		if second > 10 {
			found = ws
		}
		for _, w := range found {
			heartbeat(t, gb, w)
		}
		gb.pass(t.Context())
		gb.autoscale(t.Context())
	}
	if more := s.cloud.Asked()[before:]; len(more) != 0 {
		t.Errorf("rented %+v though all had yet to report, and then did", more)
	}
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	if r := mustRecoveryReport(t, gb); r.Stage != recovery.StageComplete || r.Machines.Reconciled != r.Machines.Recorded || r.Machines.Recorded < replicas {
		t.Errorf("recovery %+v", r)
	}
}
