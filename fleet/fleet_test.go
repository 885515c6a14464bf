package fleet

import (
	"testing"

	"cedardoor/clock"
	"cedardoor/wire"
)

const (
	lease  = 18 * clock.Second
	report = 3 * clock.Second
)

var piece0 = PieceID{Job: "j-1", Index: 0}

func rep(tenure, tally, warrant uint64, pieces ...wire.PieceReport) *wire.Beat {
	return &wire.Beat{Host: "n-1", Endpoint: "e", Build: "b", Yard: "x", Tenure: tenure, Tally: tally, Warrant: warrant, Pieces: pieces}
}

func shown(status, cause string) wire.PieceReport {
	return wire.PieceReport{Piece: "j-1/0", Try: 1, Status: status, Cause: cause}
}

// booked is a fleet with one machine that has reported, and one recorded booking.
func booked(t *testing.T) (*Fleet, *Machine, *Booking) {
	t.Helper()
	f := New(lease, report, 5)
	f.SetCatalog(wire.Catalog{Builds: []wire.Build{{SKU: "b", Cores: 8, RAM: 32}}})
	f.Report(1, rep(1, 1, 0), true)
	m := f.Machine("n-1")
	f.Answered(m, 1)
	b := &Booking{Piece: piece0, Try: 1, Tenure: 1, Cores: 2, RAM: 4}
	f.Reserve(m, b, 1)
	b.Recorded = true
	return f, m, b
}

func gone(news []News) bool {
	for _, n := range news {
		if n.Gone {
			return true
		}
	}
	return false
}

// The answer to a beat is dead once a later beat has come, not before: the
// body of a /do made in between proves nothing.
func TestAbsenceAfterBeatAnswer(t *testing.T) {
	f, m, b := booked(t)
	if o := f.Orders(m, 2, true, true); len(o) != 1 || o[0].Verb != wire.VerbRun {
		t.Fatalf("orders %v", o)
	}
	f.Stop(b, 0, 3)
	if news, _ := f.Report(4, rep(1, 2, 5), false); gone(news) {
		t.Fatal("freed by the body of a /do while a beat's answer may be under way")
	}
	if news, _ := f.Report(5, rep(1, 3, 5), true); !gone(news) {
		t.Fatal("not freed by a later beat that does not show it")
	}
	if c, _, _ := m.Free(); c != 8 {
		t.Errorf("free cores %v", c)
	}
}

func TestDoubtEndsWithHigherWarrant(t *testing.T) {
	f, m, b := booked(t)
	fl := f.Launch(m, 2, 5)
	f.Landed(fl, false)
	f.Stop(b, 0, 3)
	if news, _ := f.Report(4, rep(1, 2, 5), true); gone(news) {
		t.Fatal("absence believed under the warrant of the lost run")
	}
	if f.Doubts(4, 5) != 1 {
		t.Error("no doubt counted")
	}
	if news, _ := f.Report(5, rep(1, 3, 6), true); !gone(news) {
		t.Fatal("absence not believed after a higher warrant was seen")
	}
}

func TestDefiniteAnswerLeavesNoDoubt(t *testing.T) {
	f, m, b := booked(t)
	fl := f.Launch(m, 2, 5)
	f.Landed(fl, true)
	f.Report(3, rep(1, 2, 5, shown(wire.PieceEnded, wire.CauseDone)), false)
	if !b.Ended {
		t.Fatal("end not taken in")
	}
	b.Settled = true
	if o := f.Orders(m, 4, true, true); len(o) != 1 || o[0].Verb != wire.VerbForget {
		t.Errorf("orders %v, want forget", o)
	}
}

// A stale or reordered report never overwrites a newer one.
func TestOldReportsChangeNothing(t *testing.T) {
	f, m, b := booked(t)
	f.Orders(m, 2, true, true)
	f.Report(3, rep(1, 9, 5, shown(wire.PieceRunning, "")), true)
	for _, old := range []*wire.Beat{rep(1, 8, 5), rep(1, 9, 5)} {
		if news, fresh := f.Report(4, old, true); fresh || len(news) > 0 {
			t.Fatalf("report %d/%d taken in: %v", old.Tenure, old.Tally, news)
		}
	}
	if b.Status != wire.PieceRunning {
		t.Error("state overwritten")
	}
	// A newer session ends it; then reports of the old one are stale whatever their tally.
	if news, _ := f.Report(5, rep(2, 1, 5), true); !gone(news) {
		t.Fatal("a new session did not free it")
	}
	if _, fresh := f.Report(6, rep(1, 50, 5, shown(wire.PieceRunning, "")), true); fresh {
		t.Error("report of an old session taken in")
	}
}

func TestLeaseCountsFromLastAnswer(t *testing.T) {
	f, m, _ := booked(t)
	f.Answered(m, 10*clock.Second)
	if gone(f.Expire(10*clock.Second + lease)) {
		t.Fatal("freed at the lease without its drift")
	}
	if !gone(f.Expire(10*clock.Second + lease + clock.Second)) {
		t.Fatal("never freed")
	}
	if f.Launch(m, 40*clock.Second, 5) != nil {
		t.Error("ordered into a session that must be over")
	}
}

func TestReturnFreesAll(t *testing.T) {
	f, _, _ := booked(t)
	if !gone(f.Returned("n-1", 2)) || f.Machine("n-1") != nil {
		t.Error("the return's 200 did not free the machine")
	}
}

func TestStrangers(t *testing.T) {
	f, m, _ := booked(t)
	other := wire.PieceReport{Piece: "j-9/4", Try: 3, Status: wire.PieceRunning}
	f.Report(2, rep(1, 2, 0, other), true)
	if o := f.Orders(m, 2, true, false); len(o) != 1 || o[0].Verb != wire.VerbHalt {
		t.Fatalf("orders %v, want a halt", o)
	}
	other.Status = wire.PieceEnded
	// Ended, but a predecessor's run may still be out until this reign's warrant was seen.
	f.Report(3, rep(1, 3, 4, other), true)
	if o := f.Orders(m, 3, true, false); len(o) != 0 {
		t.Fatalf("orders %v before the warrant was seen", o)
	}
	f.Report(4, rep(1, 4, 5, other), true)
	if o := f.Orders(m, 4, true, false); len(o) != 1 || o[0].Verb != wire.VerbForget {
		t.Fatalf("orders %v, want forget", o)
	}
}

// An adopted attempt that the worker never got is run again where it was
// recorded, not elsewhere.
func TestAdoptedRunIsRepeated(t *testing.T) {
	f := New(lease, report, 5)
	m := f.Ensure("n-1", 1)
	b := &Booking{Piece: piece0, Try: 1, Tenure: 1, Cores: 2}
	f.Adopt(m, b, 1)
	f.Report(2, rep(1, 7, 4), true)
	f.Answered(m, 2)
	f.Report(3, rep(1, 8, 5), true)
	if o := f.Orders(m, 3, true, true); len(o) != 1 || o[0].Verb != wire.VerbRun || b.Ended {
		t.Errorf("orders %v, ended %t", o, b.Ended)
	}
}
