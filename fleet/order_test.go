package fleet

import (
	"fmt"
	"testing"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// history is what one worker reports after a change of leader.
type history struct {
	recorded int // tasks that a predecessor recorded there, in session 1
	reports  []*wire.Heartbeat
}

const termToken = 9

// drawHistory draws what a worker does: its tasks run, end or were never started, a task that nobody
// recorded runs there, it learns of the new token at some time, and may begin a new session.
func drawHistory(t *rapid.T) history {
	h := history{recorded: rapid.IntRange(1, 4).Draw(t, "tasks")}
	n := rapid.IntRange(2, 8).Draw(t, "reports")
	knows := rapid.IntRange(0, n-1).Draw(t, "knows the token from")
	anew := rapid.IntRange(0, 3*n).Draw(t, "new session from")
	stranger := rapid.Bool().Draw(t, "stranger")
	ends := make([]int, h.recorded) // the report from which on the task has ended; -1: it is not there at all
	for i := range ends {
		ends[i] = rapid.IntRange(-1, 2*n).Draw(t, "ends")
	}
	for r := range n {
		session, token := uint64(1), uint64(4)
		if r >= anew {
			session = 2
		}
		if r >= knows {
			token = termToken
		}
		var tasks []wire.TaskReport
		for i, end := range ends {
			report := wire.TaskReport{Task: fmt.Sprintf("j-1/%d", i), Attempt: 1, Status: wire.TaskRunning}
			if end >= 0 && r >= end {
				report.Status, report.Cause = wire.TaskEnded, wire.CauseDone
			}
			if end >= 0 && session == 1 {
				tasks = append(tasks, report)
			}
		}
		if stranger {
			tasks = append(tasks, wire.TaskReport{Task: "j-9/0", Attempt: 7, Status: wire.TaskRunning})
		}
		h.reports = append(h.reports, rep(session, uint64(r+1), token, tasks...))
	}
	// The worker knows the token in the end, and says so: what is in doubt before is not after.
	last := *h.reports[n-1]
	last.Sequence, last.Token = uint64(n+1), termToken
	h.reports = append(h.reports, &last)
	return h
}

// outcome is what a leader holds after reports came in some order.
type outcome struct {
	Live    []bool
	Stopped []string
	Strange int
	Trusted bool
}

// play lets the reports come in the given order, each with the answer that it gets.
func (h history) play(order []int) (o outcome) {
	f := New(lease, report, termToken, quota.NewLedger(nil))
	f.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "b", Cores: 8, RAM: 32}}})
	f.DecideOrphan = func(_ TaskID, observation recovery.Observation) recovery.Decision {
		return recovery.Decide(recovery.Case{Job: recovery.JobUnrecorded, Attempt: recovery.AttemptOther, Observation: observation})
	}
	m := f.Ensure("n-1", 1)
	var bookings []*Allocation
	for i := range h.recorded {
		allocation := &Allocation{Task: TaskID{Job: "j-1", Index: i}, Attempt: 1, Incarnation: 1, Cores: 1, RAM: 1}
		f.Adopt(m, allocation, 1)
		bookings = append(bookings, allocation)
	}
	now := clock.Micros(1)
	for _, r := range order {
		now += 100 * clock.Millisecond
		copied := *h.reports[r]
		f.Report(now, &copied, true)
		f.HeartbeatAnswered(m, now, termToken)
		for _, order := range f.Commands(m, now, true, AllCommands) {
			if order.Verb == wire.VerbStop {
				o.Stopped = append(o.Stopped, order.Task)
			}
		}
	}
	for _, allocation := range bookings {
		o.Live = append(o.Live, allocation.Live())
	}
	o.Strange, o.Trusted = m.RunningOrphans(), m.Reported
	return o
}

// However late and often copies of a worker's reports come, and in whatever order: once the newest has
// come, the leader holds what it would if each had come once and in time, and it has stopped nothing.
func TestLateAndRepeatedReportsLeadToTheSameOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		newest := len(h.reports) - 1
		inTime := make([]int, len(h.reports))
		for i := range inTime {
			inTime[i] = i
		}
		order := rapid.SliceOfN(rapid.IntRange(0, newest), 0, 20).Draw(t, "order")
		order = append(order, newest)
		order = append(order, rapid.SliceOfN(rapid.IntRange(0, newest), 0, 10).Draw(t, "copies after the newest")...)
		want, got := h.play(inTime), h.play(order)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("in time and in order %v: %s", order, diff)
		}
		if len(got.Stopped) > 0 || !got.Trusted {
			t.Fatalf("stopped %v, trusted %t", got.Stopped, got.Trusted)
		}
	})
}
