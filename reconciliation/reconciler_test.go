package reconciliation

import (
	"log/slog"
	"slices"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

const firstToken = 7

// writer is a Writer that records its calls.
type writer struct {
	dirty, results []string
	stale          []*jobs.SharedRecord
	moves          []string
}

func (w *writer) MarkDirty(uid string)                     { w.dirty = append(w.dirty, uid) }
func (w *writer) MarkResult(job *jobs.Job, _ clock.Micros) { w.results = append(w.results, job.UID) }
func (w *writer) MarkStale(shared *jobs.SharedRecord)      { w.stale = append(w.stale, shared) }
func (w *writer) AddFinalMove(uid string, _ uint64, _ store.FinalRecord) {
	w.moves = append(w.moves, uid)
}

type fixture struct {
	*Reconciler
	writer  *writer
	now     clock.Micros
	awaited []string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ledger := quota.NewLedger(nil)
	f := &fixture{writer: &writer{}}
	f.Reconciler = New(Settings{Jobs: jobs.NewTable(), Fleet: fleet.New(10*clock.Second, clock.Second, firstToken, ledger), Quota: ledger,
		Writer: f.writer, Token: firstToken, PredecessorLease: 12 * clock.Second, MaxReportDelay: 5 * clock.Second,
		Now: func() clock.Micros { return f.now }, Log: slog.New(slog.DiscardHandler)})
	f.Fleet.DecideOrphan = f.DecideOrphan
	return f
}

// load loads records.
func (f *fixture) load(records *recovery.Records) {
	f.Load(records, Sink{
		AddJob: func(record store.JobRecord, modRevision uint64) {
			f.Jobs.Add(jobs.New(record, modRevision, &config.Facts{}, f.now))
		},
		AwaitMachine: func(machine *fleet.Machine) { f.awaited = append(f.awaited, machine.Name) },
	}, f.now, f.now)
}

// report makes a machine report its tasks.
func (f *fixture) report(machine string, token uint64, tasks ...wire.TaskReport) *fleet.Machine {
	report := &wire.Heartbeat{Machine: machine, Endpoint: "e", Incarnation: 1, Sequence: uint64(f.now) + 1, Token: token, Tasks: tasks}
	f.Fleet.Report(f.now, report, true)
	return f.Fleet.Machine(machine)
}

func jobRow(uid string, tasks int) recovery.JobRow {
	spec := wire.Spec{UID: uid, Kind: wire.KindBatch, Priority: "standard", Tasks: tasks, Cores: 1}
	return recovery.JobRow{Record: store.JobRecord{Spec: spec}, ModRevision: 4}
}

// Load restores a job with a task that is done, one on a machine and one that waits.
func TestLoad(t *testing.T) {
	f := newFixture(t)
	f.load(&recovery.Records{
		Jobs:   []recovery.JobRow{jobRow("j-1", 3)},
		States: map[string]recovery.JobState{"j-1": recovery.JobActive},
		Chunks: []recovery.ChunkRow{{UID: "j-1", Size: store.TasksPerChunk, ModRevision: 6, Done: []bool{true, false, false},
			Attempts: []store.TaskAttempt{{Index: 1, Attempt: 2, Machine: "n-1", Incarnation: 1}}}},
		FinalMoves: []recovery.FinalMoveRow{{UID: "j-2"}},
	})
	job := f.Jobs.Get("j-1")
	if job.Done != 1 || !slices.Equal(job.Waiting, []int{2}) || job.Record.Chunks[0].ModRevision != 6 {
		t.Errorf("%d done, %v waiting, chunk %+v", job.Done, job.Waiting, job.Record.Chunks[0])
	}
	task := &job.Tasks[1]
	if task.State != jobs.TaskPlaced || task.Attempt != 2 || !task.Allocation.Durable || !task.Allocation.Adopted {
		t.Errorf("the recorded attempt is restored as %+v", task)
	}
	machine := f.Fleet.Machine("n-1")
	if !slices.Equal(f.awaited, []string{"n-1"}) || machine.LeaseEnd < f.PredecessorLease {
		t.Errorf("awaited %v, lease until %v", f.awaited, machine.LeaseEnd)
	}
	if !slices.Equal(f.writer.moves, []string{"j-2"}) {
		t.Errorf("final moves of %v, want of j-2", f.writer.moves)
	}
}

// A task whose record can't be decoded is not started before a machine reports it or it is known what
// runs on every machine.
func TestUnreadableTasks(t *testing.T) {
	f := newFixture(t)
	f.load(&recovery.Records{
		Jobs:   []recovery.JobRow{jobRow("j-1", 2)},
		States: map[string]recovery.JobState{"j-1": recovery.JobActive},
		Chunks: []recovery.ChunkRow{{UID: "j-1", Size: store.TasksPerChunk, ModRevision: 6, Unreadable: true}},
	})
	job := f.Jobs.Get("j-1")
	if len(job.Waiting) != 0 || !f.HasUnreadable(job) || f.Report(f.now).Attempts.Unreadable != 2 {
		t.Fatalf("waiting %v, unreadable %d", job.Waiting, f.Report(f.now).Attempts.Unreadable)
	}
	f.now = clock.Second
	machine := f.report("n-1", firstToken, wire.TaskReport{Task: "j-1/0", Attempt: 5, Status: wire.TaskRunning})
	f.AdoptReported(machine, f.now)
	if task := &job.Tasks[0]; task.State != jobs.TaskPlaced || task.Attempt != 5 || job.Running != 1 {
		t.Errorf("the reported attempt is adopted as %+v", task)
	}
	f.ReleaseUnreadable(f.now)
	if len(job.Waiting) != 0 {
		t.Error("released before the predecessor's leases have expired")
	}
	f.now = f.PredecessorLease + 1
	f.report("n-1", firstToken, wire.TaskReport{Task: "j-1/0", Attempt: 5, Status: wire.TaskRunning})
	f.ReleaseUnreadable(f.now)
	if !slices.Equal(job.Waiting, []int{1}) || f.HasUnreadable(job) {
		t.Errorf("waiting %v once it is known what every machine runs, want the task that none reports", job.Waiting)
	}
	if job.Tasks[1].Attempt < firstUnreadableAttempt {
		t.Errorf("attempt number %d may be used twice", job.Tasks[1].Attempt)
	}
}

// A task of an unknown job runs on until its job has been looked up.
func TestOrphanIsLookedUpBeforeItIsStopped(t *testing.T) {
	f := newFixture(t)
	id := fleet.TaskID{Job: "j-9"}
	if d := f.DecideOrphan(id, recovery.ObservedRunning); d != recovery.LookUp {
		t.Errorf("decision %v before the job was looked up", d)
	}
	select {
	case <-f.LookupsPending():
	default:
		t.Error("no lookup is requested")
	}
	if got := f.TakePendingLookups(); !slices.Equal(got, []string{"j-9"}) {
		t.Errorf("jobs to look up: %v, want j-9", got)
	}
	tests := []struct {
		state recovery.JobState
		want  recovery.Decision
	}{
		{recovery.JobUnrecorded, recovery.Retain},
		{recovery.JobUnreadable, recovery.Retain},
		{recovery.JobFinished, recovery.Stop},
	}
	for _, tt := range tests {
		f.LookedUp("j-9", tt.state, f.now)
		if d := f.DecideOrphan(id, recovery.ObservedRunning); d != tt.want {
			t.Errorf("%v: decision %v, want %v", tt.state, d, tt.want)
		}
	}
	f.now += LookupValidFor + 1
	f.DecideOrphan(id, recovery.ObservedRunning)
	if got := f.TakePendingLookups(); len(got) != 0 {
		t.Errorf("jobs that are over are looked up again: %v", got)
	}
}

// Rows of a job whose own record is missing stay in the shared record.
func TestRowsOfUnusableJobsAreKept(t *testing.T) {
	f := newFixture(t)
	row := store.SharedRow{UID: "j-1", Attempt: 1, Machine: "n-1", Incarnation: 1}
	f.load(&recovery.Records{
		States: map[string]recovery.JobState{"j-1": recovery.JobUnrecorded},
		Shared: []recovery.SharedRow{{Key: "s/1.1", ModRevision: 3, Record: store.SharedRecord{Rows: []store.SharedRow{row}}}},
	})
	if !f.IsUnusable("j-1") || len(f.writer.stale) != 0 {
		t.Errorf("unusable %t, %d shared records to be rewritten", f.IsUnusable("j-1"), len(f.writer.stale))
	}
}
