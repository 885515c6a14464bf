package attribution

import (
	"fmt"
	"log/slog"
	"testing"

	"cedardoor/clock"
	"cedardoor/fleet"
	"cedardoor/plan"
	"cedardoor/quota"
	"cedardoor/wire"
)

// fakeJob is a job as the tracker sees it.
type fakeJob struct {
	history    History
	planned    plan.Job
	done       int
	allWaiting bool
	runsFor    clock.Micros
}

func (j *fakeJob) ID() string                            { return "j-1" }
func (j *fakeJob) FailureHistory() *History              { return &j.history }
func (j *fakeJob) Planned() *plan.Job                    { return &j.planned }
func (j *fakeJob) DoneTasks() int                        { return j.done }
func (j *fakeJob) AllWaiting() bool                      { return j.allWaiting }
func (j *fakeJob) RunsLongerThan(span clock.Micros) bool { return j.runsFor > span }

// newTracker makes a tracker of so many machines that report.
func newTracker(t *testing.T, machines int) (*Tracker, []*fleet.Machine) {
	t.Helper()
	f := fleet.New(10*clock.Second, clock.Second, 1, quota.NewLedger(nil))
	var list []*fleet.Machine
	for i := range machines {
		report := &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Incarnation: 1, Sequence: 1, Token: 1}
		f.Report(0, report, true)
		list = append(list, f.Machine(report.Machine))
	}
	return NewTracker(f, slog.New(slog.DiscardHandler)), list
}

func (t *Tracker) fails(job Job, machine *fleet.Machine, attempts int) (Outcome, bool) {
	return t.TaskFailed(job, Failure{Machine: machine, Ran: clock.Second, Attempts: attempts, RetryAt: 1}, 0)
}

// TestFailsEverywhere: a job that fails on several machines and succeeds on none is at fault, and
// the machines are not.
func TestFailsEverywhere(t *testing.T) {
	tracker, machines := newTracker(t, 8)
	job := &fakeJob{allWaiting: true}
	for i := range failingAfterMachines {
		outcome, _ := tracker.fails(job, machines[i], 1)
		if want := i == failingAfterMachines-1; (outcome == JobFailing) != want {
			t.Fatalf("outcome %v after %d machines", outcome, i+1)
		}
	}
	if !job.history.Failing() {
		t.Error("the job does not count as failing")
	}
	for _, machine := range machines {
		if tracker.HasFailures(machine) || machine.QuarantineReason != "" || machine.SuspendedUntil != 0 {
			t.Errorf("%s is held responsible: %+v", machine.Name, machine.QuarantineReason)
		}
	}
	if tracker.TaskDone(job, machines[7], 0) != JobCleared || job.history.Failing() {
		t.Error("a success does not clear the job")
	}
}

// TestMachineAtFault: a machine is quarantined on which tasks of jobs fail that work elsewhere.
func TestMachineAtFault(t *testing.T) {
	tracker, machines := newTracker(t, 8)
	first, second := &fakeJob{}, &fakeJob{}
	first.history.Succeeded()
	second.history.Succeeded()
	tracker.fails(first, machines[0], 1)
	if machines[0].QuarantineReason != "" {
		t.Error("quarantined by one failure")
	}
	tracker.fails(second, machines[0], 1)
	if machines[0].QuarantineReason != fleet.QuarantineFailing {
		t.Errorf("reason %q after failures of two jobs that work", machines[0].QuarantineReason)
	}
	if !first.planned.Avoid[machines[0].Name] {
		t.Error("the job does not keep away from the machine")
	}
}

// TestSuccessClearsTheMachine: failures count only as long as nothing is done on the machine.
func TestSuccessClearsTheMachine(t *testing.T) {
	tracker, machines := newTracker(t, 8)
	job := &fakeJob{}
	job.history.Succeeded()
	tracker.fails(job, machines[0], 1)
	tracker.TaskDone(job, machines[0], 0)
	tracker.fails(job, machines[0], 1)
	if machines[0].QuarantineReason != "" {
		t.Error("quarantined by failures with a success between")
	}
}

// TestSuspension: a machine on which jobs failed that may be at fault themselves gets nothing new
// until one of them is known to be.
func TestSuspension(t *testing.T) {
	tracker, machines := newTracker(t, 8)
	first, second := &fakeJob{}, &fakeJob{}
	tracker.fails(first, machines[0], 1)
	tracker.fails(second, machines[0], 1)
	if machines[0].SuspendedUntil != suspensionTime {
		t.Errorf("suspended until %v, want %v", machines[0].SuspendedUntil, suspensionTime)
	}
	tracker.Withdraw(second)
	if machines[0].SuspendedUntil != 0 {
		t.Error("still suspended after one job's failures were withdrawn")
	}
}

// TestPersistentTask: a task that fails on machines where others of its job succeed says nothing
// against these.
func TestPersistentTask(t *testing.T) {
	tracker, machines := newTracker(t, 8)
	job := &fakeJob{}
	job.history.Succeeded()
	tracker.fails(job, machines[0], 1)
	if _, persistent := tracker.fails(job, machines[1], 2); !persistent {
		t.Error("the task's own fault is not seen")
	}
	if tracker.HasFailures(machines[1]) {
		t.Error("the machine is held responsible")
	}
}

// TestTrials: a job on trial tries one task after another, ever more slowly.
func TestTrials(t *testing.T) {
	var h History
	h.Restore(false, true)
	if !h.OnTrial() || !h.MayTry(0, 0) {
		t.Fatal("a job all of whose attempts ended is not tried")
	}
	last := clock.Micros(0)
	for now := clock.Micros(0); now < 100*clock.Second; now += clock.Second {
		if !h.MayTry(now, 0) {
			continue
		}
		h.TrialStarted(now)
		if gap := h.nextTrialAt - now; gap < last {
			t.Errorf("%v between trials after %v", gap, last)
		} else {
			last = gap
		}
	}
	if h.TrialStarted(0); h.MayTry(trialGap-1, 1) {
		t.Error("tried again before the task that is placed has shown what it comes to")
	}
}
