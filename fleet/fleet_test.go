package fleet

import (
	"errors"
	"fmt"
	"testing"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

const (
	lease  = 18 * clock.Second
	report = 3 * clock.Second
)

var task0 = TaskID{Job: "j-1", Index: 0}

// reserve books an attempt of a team without limits.
func reserve(t testing.TB, f *Fleet, machine *Machine, allocation *Allocation, now clock.Micros) {
	t.Helper()
	if err := f.Reserve(machine, allocation, now); err != nil {
		t.Fatal(err)
	}
}

func rep(session, tally, token uint64, pieces ...wire.TaskReport) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: session, Sequence: tally, Token: token, Tasks: pieces}
}

func shown(status, cause string) wire.TaskReport {
	return wire.TaskReport{Task: "j-1/0", Attempt: 1, Status: status, Cause: cause}
}

// booked is a fleet with one machine that has reported, and one recorded booking.
func booked(t *testing.T) (*Fleet, *Machine, *Allocation) {
	t.Helper()
	f := New(lease, report, 5, quota.NewLedger(nil))
	f.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "b", Cores: 8, RAM: 32}}})
	f.Report(1, rep(1, 1, 0), true)
	machine := f.Machine("n-1")
	f.HeartbeatAnswered(machine, 1, 5)
	allocation := &Allocation{Task: task0, Attempt: 1, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 2, RAM: 4}}}
	reserve(t, f, machine, allocation, 1)
	allocation.Durable = true
	return f, machine, allocation
}

func gone(events []Event) bool {
	for _, n := range events {
		if n.Gone {
			return true
		}
	}
	return false
}

// The answer to a heartbeat is dead once a later heartbeat has come, not before: the
// body of a /do made in between proves nothing.
func TestAbsenceAfterBeatAnswer(t *testing.T) {
	f, machine, allocation := booked(t)
	if o := f.Commands(machine, 2, true, AllCommands); len(o) != 1 || o[0].Verb != wire.VerbRun {
		t.Fatalf("orders %v", o)
	}
	f.Stop(allocation, 0, 3)
	if events, _ := f.Report(4, rep(1, 2, 5), false); gone(events) {
		t.Fatal("freed by the body of a /do while a heartbeat's answer may be under way")
	}
	if events, _ := f.Report(5, rep(1, 3, 5), true); !gone(events) {
		t.Fatal("not freed by a later heartbeat that does not show it")
	}
	if c, _, _ := machine.Free(); c != 8 {
		t.Errorf("free cores %v", c)
	}
}

func TestDoubtEndsWithHigherToken(t *testing.T) {
	f, machine, allocation := booked(t)
	command := f.PrepareCommand(machine, 2, 5, AllCommands)
	f.CommandCompleted(command, OutcomeUnknown)
	f.Stop(allocation, 0, 3)
	if events, _ := f.Report(4, rep(1, 2, 5), true); gone(events) {
		t.Fatal("absence believed under the token of the lost run")
	}
	if f.UnfencedCount(4, 5) != 1 {
		t.Error("no doubt counted")
	}
	if events, _ := f.Report(5, rep(1, 3, 6), true); !gone(events) {
		t.Fatal("absence not believed after a higher token was seen")
	}
}

// A direct command that was answered may come again: once the worker has
// forgotten the attempt it would start it anew. So its result stays there until
// the worker has shown a higher token, while its room is free at once.
func TestNoForgetWhileARunMayComeAgain(t *testing.T) {
	for _, tt := range []struct {
		out    Outcome
		forget bool
	}{{OutcomeUnknown, false}, {OutcomeExecuted, false}, {OutcomeNotExecuted, true}} {
		f, machine, allocation := booked(t)
		f.CommandCompleted(f.PrepareCommand(machine, 2, 5, AllCommands), tt.out)
		f.Report(3, rep(1, 2, 5, shown(wire.TaskEnded, wire.CauseDone)), false)
		if !allocation.Ended || machine.LiveCount() != 0 {
			t.Fatal("end not taken in")
		}
		allocation.ResultDurable = true
		if o := f.Commands(machine, 4, true, AllCommands); (len(o) == 1 && o[0].Verb == wire.VerbForget) != tt.forget {
			t.Errorf("outcome %v: orders %v, forget: %t", tt.out, o, tt.forget)
		}
		if waits := f.ResultsAwaitFencing(5); waits != (tt.out == OutcomeExecuted) {
			t.Errorf("outcome %v: waits for a higher token: %t", tt.out, waits)
		}
		f.Report(5, rep(1, 3, 6, shown(wire.TaskEnded, wire.CauseDone)), true)
		if o := f.Commands(machine, 6, true, AllCommands); len(o) != 1 || o[0].Verb != wire.VerbForget {
			t.Errorf("outcome %v: orders %v under a higher token, want forget", tt.out, o)
		}
	}
}

// Results that wait on a worker to be forgotten must not outgrow its reports.
func TestManyResultsPress(t *testing.T) {
	f, machine, _ := booked(t)
	for i := range maxUnforgottenResults + 1 {
		if f.TakeReportOverloaded() {
			t.Fatalf("presses after %d results", i)
		}
		allocation := &Allocation{Task: TaskID{Job: "j-2", Index: i}, Attempt: 1, Incarnation: 1}
		reserve(t, f, machine, allocation, 2)
		f.release(allocation, 3)
	}
	if !f.TakeReportOverloaded() || f.TakeReportOverloaded() {
		t.Errorf("does not press once after %d results", maxUnforgottenResults+1)
	}
}

// An answer to a worker stays within 64 KiB; the next one goes on.
func TestAnswersStaySmall(t *testing.T) {
	f, machine, _ := booked(t)
	const n = 3 * maxCommands / 2
	for i := range n {
		allocation := &Allocation{Task: TaskID{Job: "j-123456789", Index: 10000 + i}, Attempt: 123456, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 0.001}}}
		reserve(t, f, machine, allocation, 2)
		allocation.Durable = true
	}
	seen := 0
	for tally := uint64(2); tally < 4; tally++ {
		o := f.Commands(machine, 3, true, AllCommands)
		if raw, err := wire.Marshal(wire.HeartbeatResponse{Token: 5, Commands: o}); err != nil || len(raw) > wire.MaxBody {
			t.Fatalf("%d orders take %d bytes", len(o), len(raw))
		}
		seen += len(o)
		r := rep(1, tally, 5)
		for _, run := range o {
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: run.Task, Attempt: run.Attempt, Status: wire.TaskRunning})
		}
		f.Report(4, r, true)
	}
	if seen < n {
		t.Errorf("%d of %d orders given in two answers", seen, n)
	}
}

// A stale or reordered report never overwrites a newer one.
func TestOldReportsChangeNothing(t *testing.T) {
	f, machine, allocation := booked(t)
	f.Commands(machine, 2, true, AllCommands)
	f.Report(3, rep(1, 9, 5, shown(wire.TaskRunning, "")), true)
	for _, old := range []*wire.Heartbeat{rep(1, 8, 5), rep(1, 9, 5)} {
		if events, fresh := f.Report(4, old, true); fresh || len(events) > 0 {
			t.Fatalf("report %d/%d taken in: %v", old.Incarnation, old.Sequence, events)
		}
	}
	if allocation.Status != wire.TaskRunning {
		t.Error("state overwritten")
	}
	// A newer session ends it; then reports of the old one are stale whatever their tally.
	if events, _ := f.Report(5, rep(2, 1, 5), true); !gone(events) {
		t.Fatal("a new session did not free it")
	}
	if _, fresh := f.Report(6, rep(1, 50, 5, shown(wire.TaskRunning, "")), true); fresh {
		t.Error("report of an old session taken in")
	}
}

func TestLeaseCountsFromLastAnswer(t *testing.T) {
	f, machine, _ := booked(t)
	f.HeartbeatAnswered(machine, 10*clock.Second, 5)
	if gone(f.ExpireLeases(10*clock.Second + lease)) {
		t.Fatal("freed at the lease without its drift")
	}
	if !gone(f.ExpireLeases(10*clock.Second + lease + clock.Second)) {
		t.Fatal("never freed")
	}
	if f.PrepareCommand(machine, 40*clock.Second, 5, AllCommands) != nil {
		t.Error("ordered into a session that must be over")
	}
}

func TestReturnFreesAll(t *testing.T) {
	f, _, _ := booked(t)
	if !gone(f.MachineReturned("n-1", 2)) || f.Machine("n-1") != nil {
		t.Error("the return's 200 did not free the machine")
	}
}

func TestStrangers(t *testing.T) {
	f, machine, _ := booked(t)
	other := wire.TaskReport{Task: "j-9/4", Attempt: 3, Status: wire.TaskRunning}
	f.Report(2, rep(1, 2, 0, other), true)
	if o := f.Commands(machine, 2, true, NoRuns); len(o) != 1 || o[0].Verb != wire.VerbStop {
		t.Fatalf("orders %v, want a halt", o)
	}
	other.Status = wire.TaskEnded
	// Ended, but a predecessor's run may still be out until this term's token was seen.
	f.Report(3, rep(1, 3, 4, other), true)
	if o := f.Commands(machine, 3, true, NoRuns); len(o) != 0 {
		t.Fatalf("orders %v before the token was seen", o)
	}
	f.Report(4, rep(1, 4, 5, other), true)
	if o := f.Commands(machine, 4, true, NoRuns); len(o) != 1 || o[0].Verb != wire.VerbForget {
		t.Fatalf("orders %v, want forget", o)
	}
}

// An adopted attempt that the worker never got is run again where it was
// recorded, not elsewhere.
func TestAdoptedRunIsRepeated(t *testing.T) {
	f := New(lease, report, 5, quota.NewLedger(nil))
	machine := f.Ensure("n-1", 1)
	allocation := &Allocation{Task: task0, Attempt: 1, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 2}}}
	f.Adopt(machine, allocation, 1)
	f.Report(2, rep(1, 7, 4), true)
	f.HeartbeatAnswered(machine, 2, 5)
	f.Report(3, rep(1, 8, 5), true)
	if o := f.Commands(machine, 3, true, AllCommands); len(o) != 1 || o[0].Verb != wire.VerbRun || allocation.Ended {
		t.Errorf("orders %v, ended %t", o, allocation.Ended)
	}
}

// A predecessor recorded attempts in two sessions of a machine, in any order, or
// the machine had reported the later one by then. Its next report under this term's
// token proves that the earlier session is over; what is recorded in the later one stays.
func TestAdoptedAttemptsOfTwoSessions(t *testing.T) {
	for name, sessions := range map[string][]uint64{"earlier first": {1, 2}, "later first": {2, 1}, "reported before": {1}} {
		t.Run(name, func(t *testing.T) {
			f := New(lease, report, 5, quota.NewLedger(nil))
			machine := f.Ensure("n-1", 1)
			if len(sessions) == 1 {
				f.Report(1, rep(2, 6, 4), true)
			}
			for _, session := range sessions {
				f.Adopt(machine, &Allocation{Task: TaskID{Job: "j-1", Index: int(session)}, Attempt: 1, Incarnation: session, Requirements: Requirements{Resources: Resources{Cores: 2}}}, 1)
			}
			if events, _ := f.Report(2, rep(2, 7, 4), true); len(events) > 0 {
				t.Errorf("news %+v of what may be a copy from before the term", events)
			}
			events, _ := f.Report(3, rep(2, 8, 5), true)
			if len(events) != 1 || !events[0].Gone || events[0].Allocation.Incarnation != 1 {
				t.Errorf("news %+v, want that the attempt of the earlier session is gone", events)
			}
			if n := machine.AllocationCount(); n != len(sessions)-1 {
				t.Errorf("%d attempts are left, want %d", n, len(sessions)-1)
			}
		})
	}
}

// Each way in which a report can free a booking, tried with a copy of a report
// that was made just before the run arrived and is delivered after it.
func TestCopyFromBeforeTheRunFreesNothing(t *testing.T) {
	heard := func(f *Fleet, tally uint64) { // the worker knows this term
		f.Report(2, rep(1, tally, 5), true)
		f.HeartbeatAnswered(f.Machine("n-1"), 2, 5)
	}
	tests := []struct {
		name string
		copy *wire.Heartbeat
		run  func(f *Fleet, machine *Machine, allocation *Allocation)
	}{
		{"run in a heartbeat's answer, then shown", rep(1, 3, 5), func(f *Fleet, machine *Machine, _ *Allocation) {
			heard(f, 4)
			f.Commands(machine, 3, true, AllCommands)
			f.Report(4, rep(1, 5, 5, shown(wire.TaskRunning, "")), true)
		}},
		{"run in a heartbeat's answer, stopped before it was shown", rep(1, 3, 5), func(f *Fleet, machine *Machine, allocation *Allocation) {
			heard(f, 4)
			f.Commands(machine, 3, true, AllCommands)
			f.Stop(allocation, 0, 4)
		}},
		{"run in a /do that is under way", rep(1, 3, 5), func(f *Fleet, machine *Machine, allocation *Allocation) {
			heard(f, 2)
			f.PrepareCommand(machine, 3, 5, AllCommands)
			f.Stop(allocation, 0, 4)
		}},
		{"run in a /do without an answer", rep(1, 3, 5), func(f *Fleet, machine *Machine, allocation *Allocation) {
			heard(f, 2)
			f.CommandCompleted(f.PrepareCommand(machine, 3, 5, AllCommands), OutcomeUnknown)
			f.Stop(allocation, 0, 4)
		}},
		{"run in a /do that was answered", rep(1, 3, 5), func(f *Fleet, machine *Machine, _ *Allocation) {
			heard(f, 2)
			command := f.PrepareCommand(machine, 3, 5, AllCommands)
			f.CommandCompleted(command, OutcomeExecuted)
			f.Report(4, rep(1, 4, 5, shown(wire.TaskRunning, "")), false)
		}},
		{"an older session", rep(1, 9, 5), func(f *Fleet, machine *Machine, _ *Allocation) {
			f.Report(3, rep(2, 1, 5), true)
			b2 := &Allocation{Task: task0, Attempt: 2, Incarnation: 2, Requirements: Requirements{Resources: Resources{Cores: 2}}}
			reserve(t, f, machine, b2, 3)
			b2.Durable = true
			f.Commands(machine, 3, true, AllCommands)
		}},
	}
	for _, tt := range tests {
		f, machine, allocation := booked(t)
		tt.run(f, machine, allocation)
		live, session, tally := machine.LiveCount(), machine.Incarnation, machine.Sequence
		if events, _ := f.Report(6, tt.copy, true); gone(events) || machine.LiveCount() != live {
			t.Errorf("%s: freed by the copy", tt.name)
		}
		if machine.Incarnation < session || machine.Incarnation == session && machine.Sequence < tally {
			t.Errorf("%s: reports went back from %d/%d to %d/%d", tt.name, session, tally, machine.Incarnation, machine.Sequence)
		}
	}
}

// A new leader's first report of a machine may be a copy from before its term:
// it frees nothing that the record holds and does not make the machine trusted.
func TestCopyAtNewLeader(t *testing.T) {
	f := New(lease, report, 5, quota.NewLedger(nil))
	f.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "b", Cores: 8, RAM: 32}}})
	machine := f.Ensure("n-1", 1)
	allocation := &Allocation{Task: task0, Attempt: 1, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 2}}}
	f.Adopt(machine, allocation, 1)
	if events, _ := f.Report(2, rep(1, 3, 4), true); gone(events) || !allocation.Live() {
		t.Fatal("a copy from before the run proved it absent")
	}
	if machine.Reported {
		t.Error("a copy from before the term made the machine trusted")
	}
	f.Report(3, rep(1, 8, 5, shown(wire.TaskRunning, "")), true)
	if !machine.Reported || allocation.Status != wire.TaskRunning {
		t.Error("a report under this term's token was not believed")
	}
}

// A copy that was held while its machine was silent says nothing of now: the
// machine stays silent until it answers a question.
func TestCopyDoesNotEndSilence(t *testing.T) {
	f, machine, _ := booked(t)
	f.Report(2, rep(1, 2, 5), true)
	if !machine.Reported {
		t.Fatal("not trusted at the start")
	}
	late := 2*report + 2*clock.Second
	f.Report(late, rep(1, 3, 5), true)
	if !machine.Suspect || machine.LastHeartbeat != 2 {
		t.Fatalf("suspect %t, last heartbeat at %d after a report that may be late", machine.Suspect, machine.LastHeartbeat)
	}
	if got := f.SilentMachines(late, 2*report); len(got) != 1 {
		t.Errorf("silent: %d machines, want 1", len(got))
	}
	f.ProbeAnswered(late+1, machine.ReportVersion(), rep(1, 4, 5))
	if machine.Suspect || machine.LastHeartbeat != late+1 {
		t.Error("still suspect after it answered a question")
	}
}

// A worker's new process counts from the start again: its answer, not its
// heartbeats, tells it from late copies; what its predecessor ran is gone, except
// what a copy of a run still under way might start.
func TestNewProcessCountsAgain(t *testing.T) {
	f, machine, allocation := booked(t)
	f.Report(2, rep(3, 40, 5), true)
	sure := &Allocation{Task: TaskID{Job: "j-2"}, Attempt: 1, Incarnation: 3, Requirements: Requirements{Resources: Resources{Cores: 1}}}
	doubtful := &Allocation{Task: TaskID{Job: "j-3"}, Attempt: 1, Incarnation: 3, Requirements: Requirements{Resources: Resources{Cores: 1}}}
	reserve(t, f, machine, sure, 3)
	sure.Durable = true
	f.Commands(machine, 3, true, AllCommands)
	reserve(t, f, machine, doubtful, 3)
	doubtful.Durable = true
	f.CommandCompleted(f.PrepareCommand(machine, 3, 5, AllCommands), OutcomeUnknown)
	f.unfenced.fence(sure)
	if _, fresh := f.Report(4, rep(1, 1, 0), true); fresh {
		t.Fatal("a report that counts lower was taken in as it came")
	}
	events := f.ProbeAnswered(5, machine.ReportVersion(), rep(1, 2, 0))
	if !gone(events) || sure.Live() || !doubtful.Live() {
		t.Fatalf("sure live %t, doubtful live %t", sure.Live(), doubtful.Live())
	}
	if machine.Reported {
		t.Error("the new process is trusted before it knows the token")
	}
	if _, fresh := f.Report(6, rep(1, 3, 5), true); !fresh || !machine.Reported {
		t.Error("the new process is ignored")
	}
	// The doubt ends only under a higher token, as ever.
	if !doubtful.Live() {
		t.Fatal("in doubt, and freed")
	}
	f.Stop(doubtful, 0, 6)
	if events, _ := f.Report(7, rep(1, 4, 6), true); !gone(events) {
		t.Error("the doubt never ends")
	}
	_ = allocation
}

// A worker began to count anew, and copies of what its earlier process reported come
// late: they count higher than the new one does, and show nothing of what runs
// there. None of them proves anything; an answer to a question does, and so does a
// heartbeat beyond all that the earlier process can have reached.
func TestCopiesOfAnEarlierProcess(t *testing.T) {
	for _, tt := range []struct {
		name             string
		session, tally   uint64 // how far the earlier process came
		copied, copiedAt uint64 // the session and tally of the copy
	}{
		{"a later session", 3, 40, 3, 38},
		{"the last of a later session", 3, 40, 3, 40},
		{"of a later session, and never seen before", 3, 40, 3, 43},
		{"of a session that was never seen", 3, 40, 4, 2},
		{"the same session", 1, 40, 1, 38},
		{"the same session, and never seen before", 1, 40, 1, 43},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, machine, _ := booked(t)
			f.Report(2, rep(tt.session, tt.tally, 5), true)
			f.ProbeAnswered(3, machine.ReportVersion(), rep(1, 2, 5))
			allocation := &Allocation{Task: TaskID{Job: "j-2"}, Attempt: 1, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 1}, HeartbeatOnly: true}}
			reserve(t, f, machine, allocation, 4)
			allocation.Durable = true
			if command := f.PrepareCommand(machine, 4, 5, AllCommands); command == nil || !command.HasRuns() {
				t.Fatal("its run waits for a heartbeat that may not be believed")
			} else {
				f.CommandCompleted(command, OutcomeNotExecuted)
			}
			runs := wire.TaskReport{Task: "j-2/0", Attempt: 1, Status: wire.TaskRunning}
			f.ProbeAnswered(5, machine.ReportVersion(), rep(1, 3, 5, runs))
			if allocation.RunningSince == 0 {
				t.Fatal("the answer of the new process is not believed")
			}
			if events, fresh := f.Report(6, rep(tt.copied, tt.copiedAt, 5), true); fresh || gone(events) || !allocation.Live() {
				t.Fatalf("the copy was believed: fresh %t, live %t", fresh, allocation.Live())
			}
			if f.ProbeAnswered(7, machine.ReportVersion(), rep(1, 5, 5, runs)); !allocation.Live() || machine.Incarnation != 1 {
				t.Fatalf("after a question: live %t, session %d", allocation.Live(), machine.Incarnation)
			}
			beyond := uint64(6)
			if tt.session == 1 {
				beyond = tt.tally + f.maxUnseenReports() + 1
			}
			if _, fresh := f.Report(8, rep(1, beyond, 5, runs), true); !fresh {
				t.Error("beats of the new process are never believed again")
			}
			// Its next session is told by an answer.
			if events := f.ProbeAnswered(9, machine.ReportVersion(), rep(2, beyond+1, 5)); !gone(events) || allocation.Live() {
				t.Error("a later session of the new process does not free what ran before")
			}
		})
	}
}

// What is told to a deaf machine takes no effect although it reports.
func TestDeaf(t *testing.T) {
	f, machine, allocation := booked(t)
	f.Report(2, rep(1, 2, 5), true)
	for tally := uint64(3); tally < 3+maxUnacknowledged; tally++ {
		if machine.NotAcknowledging() {
			t.Fatalf("deaf after %d answers", tally-3)
		}
		f.Commands(machine, 3, true, AllCommands)
		f.Report(4, rep(1, tally, 5), true)
	}
	if !machine.NotAcknowledging() {
		t.Fatal("not deaf though each answer had no effect")
	}
	if !allocation.Live() {
		t.Error("its task was freed without proof")
	}
	f.Report(5, rep(1, 20, 5, shown(wire.TaskRunning, "")), true)
	if machine.NotAcknowledging() {
		t.Error("still deaf after it obeyed")
	}
}

// The work that a report costs does not grow with the fleet, and one without
// news costs a look-up however much runs on the machine.
func TestWorkOfReports(t *testing.T) {
	visits := func(machines, tasks int) (plain, expiry int) {
		f := New(lease, report, 5, quota.NewLedger(nil))
		f.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "b", Cores: 1000, RAM: 4000}}})
		var list []wire.TaskReport
		for i := range machines {
			name := fmt.Sprintf("n-%d", i)
			f.Report(1, &wire.Heartbeat{Machine: name, Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: 1, Token: 5}, true)
			for k := range tasks {
				allocation := &Allocation{Task: TaskID{Job: "j-1", Index: i*tasks + k}, Attempt: 1, Incarnation: 1, Requirements: Requirements{Resources: Resources{Cores: 1}}}
				reserve(t, f, f.Machine(name), allocation, 1)
				allocation.Durable = true
				if i == 0 {
					list = append(list, wire.TaskReport{Task: allocation.Task.String(), Attempt: 1, Status: wire.TaskRunning})
				}
			}
		}
		machine := f.Machine("n-0")
		f.Commands(machine, 2, true, AllCommands)
		raw, err := wire.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		f.Report(2, &wire.Heartbeat{Machine: "n-0", Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: 2, Token: 5, RawTasks: raw}, true)
		f.Examined = 0
		f.Report(3, &wire.Heartbeat{Machine: "n-0", Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: 3, Token: 5, RawTasks: raw}, true)
		f.Commands(machine, 3, true, AllCommands)
		plain = f.Examined
		f.Examined = 0
		f.ExpireLeases(4)
		f.SilentMachines(4, report)
		f.UnfencedCount(4, 5)
		return plain, f.Examined
	}
	sp, se := visits(10, 3)
	lp, le := visits(2000, 30)
	if sp != lp || lp > 2 {
		t.Errorf("a report without news visits %d and %d, want the same and few", sp, lp)
	}
	if se != le || le > 2 {
		t.Errorf("looking for what has expired visits %d and %d, want the same and few", se, le)
	}
}

// Signs of deafness besides lost runs: a token that is told and never shown,
// and direct commands that fail while reports come. Silence alone is no sign.
func TestSignsOfDeafness(t *testing.T) {
	f, machine, _ := booked(t)
	f.Report(2, rep(1, 2, 5, shown(wire.TaskRunning, "")), true)
	for tally := uint64(3); tally < 3+maxUnacknowledged; tally++ {
		f.HeartbeatAnswered(machine, 2, 6)
		f.Report(3, rep(1, tally, 5, shown(wire.TaskRunning, "")), true)
	}
	if !machine.NotAcknowledging() {
		t.Error("not deaf though it never showed the token it was told")
	}
	f.Report(4, rep(1, 20, 6, shown(wire.TaskRunning, "")), true)
	if machine.NotAcknowledging() {
		t.Error("still deaf after it showed the token")
	}
	for range 2 * maxUnacknowledged {
		f.CommandFailed(machine)
	}
	if machine.NotAcknowledging() {
		t.Error("deaf on failed commands alone, though it may just be silent")
	}
	for tally := uint64(21); tally < 21+maxUnacknowledged; tally++ {
		f.CommandFailed(machine)
		f.Report(5, rep(1, tally, 6, shown(wire.TaskRunning, "")), true)
	}
	if !machine.NotAcknowledging() {
		t.Error("not deaf though commands fail while its reports come")
	}
}

// There is no booking, and so no run, beyond a team's limit: a booking takes its room
// from the ledger and gives it back when it is proved gone, once.
func TestNoBookingBeyondTheLimit(t *testing.T) {
	ledger := quota.NewLedger(map[string]quota.Limits{"team": {Limit: quota.NewAmount(4, 0)}})
	f := New(lease, report, 5, ledger)
	machine := f.Ensure("n-1", 0)
	attempt := func(index int) *Allocation {
		return &Allocation{Task: TaskID{Job: "j-1", Index: index}, Attempt: 1, Incarnation: 1, Team: "team", Requirements: Requirements{Resources: Resources{Cores: 2}}}
	}
	first, second := attempt(0), attempt(1)
	reserve(t, f, machine, first, 1)
	f.Adopt(machine, second, 1)
	if err := f.Reserve(machine, attempt(2), 1); !errors.Is(err, quota.ErrOverLimit) {
		t.Fatalf("a third task of 2 cores under a limit of 4: %v", err)
	}
	if machine.AllocationCount() != 2 {
		t.Fatalf("%d bookings, want 2", machine.AllocationCount())
	}
	f.MarkDurable(first)
	if got := first.Reservation().State(); got != quota.InDoubt {
		t.Errorf("recorded and not shown: %v", got)
	}
	f.Stop(second, 0, 2) // cancelled, and may run yet
	if got := ledger.Usage("team").Of(quota.Stopping).Tasks; got != 1 {
		t.Errorf("%d tasks are stopping, want 1", got)
	}
	if err := f.Reserve(machine, attempt(3), 2); !errors.Is(err, quota.ErrOverLimit) {
		t.Fatalf("before the stopped task is proved gone: %v", err)
	}
	f.ExpireLeases(machine.LeaseEnd + 1)
	f.Remove(second, machine.LeaseEnd+2) // proved gone a second time
	if got := ledger.Usage("team").Total; got != (quota.Amount{}) {
		t.Errorf("all is proved gone, and %+v is in use", got)
	}
}
