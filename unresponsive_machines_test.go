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
func TestHungMachineAcrossLeaders(t *testing.T) {
	s := newTestCluster(t)
	a, b := s.node(nil), s.node(nil)
	ga, stop := s.elect(a)
	w := s.worker("n-1", "x", false)
	heartbeat(t, ga, w)
	s.submit(a, jobSpec("j-1", func(sp *wire.Spec) { sp.Kind, sp.Priority, sp.Preemptible = wire.KindService, "critical", false }))
	s.resync(ga)
	s.settle(ga)
	stop()
	gb, _ := s.elect(b)
	other := s.worker("n-2", "y", false)
	l := gb
	l.mu.Lock()
	l.fleet.Machine("n-1").Endpoint = "127.0.0.1:1" // nobody answers there
	for i := range 5 {                              // booting machines are not silent ones
		machine := l.fleet.Ensure(fmt.Sprintf("n-9%d", i), l.clock.Now()+8*clock.Second)
		machine.Endpoint, machine.Type, machine.Zone, machine.CloudStatus = "127.0.0.1:1", "b", "x", wire.MachineBooting
	}
	l.mu.Unlock()
	for range 3 {
		s.advance(3 * time.Second)
		heartbeat(t, gb, other)
	}
	for range detector.UnreachableAfterProbes {
		l.detector.RecheckSilent()
		l.probeSilentMachines(t.Context())
		for probing := true; probing; runtime.Gosched() {
			l.mu.Lock()
			machine := l.fleet.Machine("n-1")
			probing = machine != nil && machine.Probing
			l.mu.Unlock()
		}
	}
	l.detector.RecheckSilent()
	l.probeSilentMachines(t.Context())
	for gone := false; !gone; runtime.Gosched() {
		l.mu.Lock()
		gone = l.fleet.Machine("n-1") == nil
		l.mu.Unlock()
	}
	s.settle(gb)
	if got := other.Starts(); len(got) != 1 {
		t.Errorf("replica not replaced: %v", got)
	}
}

// makeUnresponsive lets machines with a replica each fall silent while others report,
// and asks them until they count as mute.
func (s *testCluster) makeUnresponsive(l *leader, n *Service, zones []string, others int) {
	s.tb.Helper()
	var hung []*standin.Worker
	for i, z := range zones {
		w := s.worker(fmt.Sprintf("n-1%d", i), z, false)
		heartbeat(s.tb, l, w)
		hung = append(hung, w)
	}
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) {
		sp.Kind, sp.Priority, sp.Preemptible, sp.Tasks = wire.KindService, "critical", false, len(zones)
	}))
	s.resync(l)
	s.settle(l)
	for _, w := range hung {
		heartbeat(s.tb, l, w)
		w.Unreachable(true)
	}
	var rest []*standin.Worker
	for i := range others {
		rest = append(rest, s.worker(fmt.Sprintf("n-2%02d", i), "y", true))
	}
	for range 2 {
		for _, w := range rest {
			heartbeat(s.tb, l, w)
		}
		s.advance(3 * time.Second)
	}
	for _, w := range rest {
		heartbeat(s.tb, l, w)
	}
	for range detector.UnreachableAfterProbes {
		l.detector.RecheckSilent()
		l.probeSilentMachines(s.tb.Context())
		s.settle(l)
	}
	l.detector.RecheckSilent()
	l.probeSilentMachines(s.tb.Context())
}

// Silent machines with replicas are returned together, in one request.
func TestSilentMachinesGoInOneRequest(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.makeUnresponsive(l, n, []string{"y", "y"}, 12)
	for len(s.cloud.Returns()) == 0 {
		runtime.Gosched()
	}
	if got := s.cloud.Returns(); len(got) != 1 || !cmp.Equal(got[0], []string{"n-10", "n-11"}) {
		t.Errorf("returned %v", got)
	}
}

// A zone that falls silent as a whole is cut off: its replicas run on until
// their leases end, so it is replaced, but not returned.
func TestCutZoneIsWaitedFor(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	s.makeUnresponsive(l, n, []string{"x", "x", "x"}, 18)
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
	l.mu.Lock()
	muted := l.detector.UnreachableCount()
	l.mu.Unlock()
	if muted != 3 {
		t.Errorf("%d machines unreachable, want 3", muted)
	}
}

// A deaf machine reports on while nothing told to it takes effect. It gets no
// more work, its task is settled by the cloud's word, and it is gone.
func TestDeafMachineIsReturned(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	for i := range 4 { // others that hear, so that the fault is not the leader's
		heartbeat(t, l, s.worker(fmt.Sprintf("n-9%d", i), "z", false))
	}
	other := s.worker("n-2", "y", true)
	w.Unreachable(true)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 4 {
		s.advance(3 * time.Second)
		deliverReport(t, l, w.Report()) // its answer is lost
		s.settle(l)
	}
	if s.machineUsable(l, "n-1") {
		t.Fatal("still given work")
	}
	heartbeat(t, l, other)
	if len(other.Starts()) != 0 {
		t.Fatal("its task was started elsewhere without proof")
	}
	for known := true; known; {
		l.detector.RecheckSilent()
		l.probeSilentMachines(t.Context())
		l.mu.Lock()
		known = l.fleet.Machine("n-1") != nil
		l.mu.Unlock()
	}
	// Whatever still comes from it is an old copy and brings nothing back.
	deliverReport(t, l, w.Report())
	l.mu.Lock()
	back := l.fleet.Machine("n-1") != nil
	l.mu.Unlock()
	if back {
		t.Error("a returned machine came back with a late report")
	}
	s.settle(l)
	if got := other.Starts(); len(got) != 1 {
		t.Errorf("its task was not started elsewhere: %v", got)
	}
}

// A machine that hears again is trusted again.
func TestDeafMachineHearsAgain(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	l.operator.Fleet.Enabled = false // nothing is returned
	w.Unreachable(true)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 4 {
		s.advance(3 * time.Second)
		deliverReport(t, l, w.Report())
		s.settle(l)
	}
	if s.machineUsable(l, "n-1") && l.fleet.Machine("n-1").QuarantineReason == "" {
		t.Fatal("not banned")
	}
	w.Unreachable(false)
	heartbeat(t, l, w)
	heartbeat(t, l, w)
	s.settle(l)
	if !s.machineUsable(l, "n-1") || l.fleet.Machine("n-1").QuarantineReason != "" || len(w.Starts()) != 1 {
		t.Errorf("banned %q after it heard again, starts %v", l.fleet.Machine("n-1").QuarantineReason, w.Starts())
	}
}

// A machine that was silent is not given work on the word of one report, which
// may have been held back all the while; its answer to a question is of now.
func TestSilentMachineMustAnswer(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	held := w.Report()
	s.advance(8 * time.Second)
	w.Unreachable(true)
	deliverReport(t, l, held)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	if s.machineUsable(l, "n-1") || len(w.Starts()) != 0 {
		t.Fatal("revived by a late copy")
	}
	w.Unreachable(false)
	heartbeat(t, l, w)
	s.settle(l)
	heartbeat(t, l, w)
	s.settle(l)
	if !s.machineUsable(l, "n-1") || len(w.Starts()) != 1 {
		t.Errorf("not trusted after it answered; starts %v", w.Starts())
	}
}

// A worker that is back within a moment as a new process counts from the start
// again. It is not ignored, and its predecessor's task starts once more, once.
func TestMachineBackAsNewProcess(t *testing.T) {
	s, n, l, w := clusterWithWorker(t)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	for range 5 {
		heartbeat(t, l, w)
	}
	w.Restart()
	for range 3 {
		s.advance(time.Second)
		rep := w.Report()
		w.Take(deliverReport(t, l, rep))
		s.settle(l)
	}
	if got := w.Live(); !cmp.Equal(got, []string{"j-1/0"}) || len(w.Starts()) != 2 {
		t.Errorf("on the machine %v, starts %v", got, w.Starts())
	}
	if !s.machineUsable(l, "n-1") {
		t.Error("the new process is ignored")
	}
}

// A new leader that asks for such proof may be too busy to hear the answers:
// workers that report are not mute for that, and are not returned.
func TestQuestionsLostInASurgeReturnNothing(t *testing.T) {
	const machines = 12
	s, l := adoptedFleet(t, machines, 2)
	for tally := uint64(1); tally < 5; tally++ {
		for i := range machines {
			rep := fleetReport(i, 2, tally, 0)
			rep.Endpoint = "127.0.0.1:1" // nothing answers there
			if _, ok := l.Heartbeat(rep); !ok {
				t.Fatal("not answered")
			}
		}
		s.advance(time.Second)
		s.settle(l)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detector.UnconfirmedCount() != 0 || l.detector.UnreachableCount() != 0 {
		t.Errorf("%d workers wait to be probed and %d that report count as unreachable", l.detector.UnconfirmedCount(), l.detector.UnreachableCount())
	}
	if got := s.cloud.Returns(); len(got) != 0 {
		t.Errorf("returned %v", got)
	}
}

// A worker tells of a new token at once, but not twice within half a lease.
// Where leaders change faster, it is asked, so that it need not stand idle until
// its next regular report.
func TestWorkerThatKeepsTheTokenToItself(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	rep := w.Report()
	ans, _ := l.Heartbeat(&rep)
	w.Take(ans)
	s.submit(n, jobSpec("j-1", nil))
	s.resync(l)
	s.settle(l)
	if s.machineUsable(l, "n-1") || len(w.Starts()) != 0 {
		t.Fatal("trusted on a report that may be a copy")
	}
	s.advance(time.Second)
	s.settle(l)
	if !s.machineUsable(l, "n-1") || len(w.Starts()) != 1 {
		t.Errorf("not trusted after its answer to a question; started %v", w.Starts())
	}
}
