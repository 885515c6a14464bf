package statewriter

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const term = 9

// testTxnOps and testValueKB are the limits of the fixture's state service unless a test lowers them.
const (
	testTxnOps  = 8
	testValueKB = 32
)

// capacity is a fixed Capacity set by a test.
type capacity struct {
	spare      int
	overloaded bool
	txnOps     int // testTxnOps if zero
	valueBytes int // as with testValueKB if zero
}

func (c capacity) TxnOps() int        { return cmp.Or(c.txnOps, testTxnOps) }
func (c capacity) MaxValueBytes() int { return cmp.Or(c.valueBytes, testValueKB<<10) }

func (c capacity) SpareWrites() int { return c.spare }
func (c capacity) Overloaded() bool { return c.overloaded }

var ampleCapacity = capacity{spare: 24}

// fixture holds a Writer, a table of jobs and a machine that runs their tasks.
type fixture struct {
	t       *testing.T
	w       *Writer
	table   *jobs.Table
	fleet   *fleet.Fleet
	machine *fleet.Machine
	now     clock.Micros
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, table: jobs.NewTable(), fleet: fleet.New(clock.Second, clock.Second, 1, quota.NewLedger(nil))}
	f.w = New(term, config.State{TxnOps: testTxnOps, ValueKB: testValueKB, WriteRPS: 30}, func(*jobs.Job) bool { return false })
	f.machine = f.fleet.Ensure("n-1", 0)
	return f
}

func (f *fixture) add(uid string, tasks int, priority string) *jobs.Job {
	spec := wire.Spec{UID: uid, Kind: wire.KindBatch, Priority: priority, Tasks: tasks, Cores: 1}
	job := jobs.New(store.JobRecord{Spec: spec}, 5, &config.Facts{}, 0)
	f.table.Add(job)
	return job
}

// place allocates a task to the machine.
func (f *fixture) place(job *jobs.Job, index int) *fleet.Allocation {
	f.t.Helper()
	task := &job.Tasks[index]
	allocation := job.NewAllocation(index, task.Attempt+1)
	if err := f.fleet.Reserve(f.machine, allocation, 0); err != nil {
		f.t.Fatal(err)
	}
	task.State, task.Allocation, task.Attempt = jobs.TaskPlaced, allocation, allocation.Attempt
	f.w.MarkPlaced(job, index)
	return allocation
}

// finish marks a task as done and its attempt as ended.
func (f *fixture) finish(job *jobs.Job, index int) {
	task := &job.Tasks[index]
	allocation := task.Allocation
	task.Allocation, task.State = nil, jobs.TaskDone
	job.Done++
	chunk := f.w.AttemptEnded(job, index)
	chunk.EndedAttempts = append(chunk.EndedAttempts, allocation)
	f.fleet.Remove(allocation, 0)
	f.w.MarkDirty(job.UID)
}

func (f *fixture) next(c capacity) *Transaction {
	f.t.Helper()
	tx, removable := f.w.Next(f.table, c, f.now)
	for _, job := range removable {
		f.table.Remove(job)
	}
	return tx
}

func (f *fixture) apply(tx *Transaction, revision uint64) {
	f.t.Helper()
	if tx == nil {
		f.t.Fatal("no transaction to apply")
	}
	for _, job := range f.w.Applied(tx, revision, f.now, f.fleet.MarkDurable) {
		f.table.Remove(job)
	}
}

// writtenKeys returns the keys that a transaction writes, those that it deletes with a leading minus.
func writtenKeys(tx *Transaction) (keys []string) {
	if tx == nil {
		return nil
	}
	for _, operation := range tx.Txn.Operations {
		if operation.Delete != "" {
			keys = append(keys, "-"+operation.Delete)
		} else {
			keys = append(keys, operation.Set)
		}
	}
	return keys
}

func (f *fixture) checkKeys(tx *Transaction, keys ...string) {
	f.t.Helper()
	if got := writtenKeys(tx); !slices.Equal(got, keys) {
		f.t.Errorf("transaction writes %q, want %q", got, keys)
	}
}

// TestJobLifecycle follows a job's records from its first placement until only its final record is left.
func TestJobLifecycle(t *testing.T) {
	f := newFixture(t)
	job := f.add("j-1", 2, "standard")
	allocations := []*fleet.Allocation{f.place(job, 0), f.place(job, 1)}
	tx := f.next(ampleCapacity)
	f.checkKeys(tx, "p/j-1/00000")
	conditions := []wire.Condition{{Key: "lead", ModRevision: term}, {Key: "p/j-1/00000"}, {Key: "j/j-1", ModRevision: 5}}
	if !slices.Equal(tx.Txn.Conditions, conditions) {
		t.Errorf("conditions %v, want %v", tx.Txn.Conditions, conditions)
	}
	if allocations[0].Durable {
		t.Error("durable before the transaction was applied")
	}
	f.apply(tx, 20)
	if !allocations[0].Durable || !allocations[1].Durable {
		t.Error("not durable after the transaction was applied")
	}
	f.finish(job, 0)
	f.finish(job, 1)
	f.apply(f.next(ampleCapacity), 21)
	if !job.Cancelled || !allocations[0].ResultDurable || !allocations[1].ResultDurable {
		t.Errorf("finished %t, results durable %t and %t", job.Cancelled, allocations[0].ResultDurable, allocations[1].ResultDurable)
	}
	tx = f.next(ampleCapacity)
	f.checkKeys(tx, "-p/j-1/00000")
	f.apply(tx, 22)
	if f.table.Get("j-1") != nil {
		t.Error("the job is still in the table")
	}
	tx = f.next(ampleCapacity)
	f.checkKeys(tx, "-j/j-1", "f/j-1")
	f.apply(tx, 23)
	if f.next(ampleCapacity) != nil || f.w.Backlog() != (Backlog{}) {
		t.Errorf("still to be recorded: %+v", f.w.Backlog())
	}
}

// TestSingleTaskJobsShareRecord checks that single-task jobs share a record, and that a finished job's
// row is removed together with the move of its own record.
func TestSingleTaskJobsShareRecord(t *testing.T) {
	f := newFixture(t)
	first, second := f.add("j-1", 1, "standard"), f.add("j-2", 1, "standard")
	f.place(first, 0)
	f.place(second, 0)
	tx := f.next(ampleCapacity)
	f.checkKeys(tx, "s/9.1")
	f.apply(tx, 20)
	f.finish(first, 0)
	f.apply(f.next(ampleCapacity), 21)
	if tx := f.next(capacity{overloaded: true}); tx != nil {
		t.Errorf("transaction writes %q while the service is overloaded", writtenKeys(tx))
	}
	tx = f.next(ampleCapacity)
	f.checkKeys(tx, "s/9.1", "-j/j-1", "f/j-1")
	rows := tx.Txn.Operations[0].Value.(store.SharedRecord).Rows
	if len(rows) != 1 || rows[0].UID != "j-2" {
		t.Errorf("the shared record holds %+v, want only the unfinished job", rows)
	}
}

// TestUrgentChangesAreWrittenFirst checks that urgent changes are written first and that deferrable
// ones are limited when there are no spare writes.
func TestUrgentChangesAreWrittenFirst(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.place(f.add(fmt.Sprintf("j-1%d", i), 2, "low"), 0)
	}
	f.place(f.add("j-9", 2, "critical"), 0)
	got := writtenKeys(f.next(capacity{spare: 0}))
	if len(got) != minDeferredOperations || got[0] != "p/j-9/00000" {
		t.Errorf("transaction writes %q, want the critical job's chunk first and %d keys in total", got, minDeferredOperations)
	}
}

// TestRequeueKeepsResults checks that the results in a transaction that is never applied are recorded
// by the next one.
func TestRequeueKeepsResults(t *testing.T) {
	f := newFixture(t)
	job := f.add("j-1", 3, "standard")
	allocation := f.place(job, 0)
	f.apply(f.next(ampleCapacity), 20)
	f.finish(job, 0)
	tx := f.next(ampleCapacity)
	f.w.Requeue(tx, nil)
	if allocation.ResultDurable {
		t.Error("a result is durable though its transaction was not applied")
	}
	f.apply(f.next(ampleCapacity), 21)
	if !allocation.ResultDurable {
		t.Error("a result of a transaction that was not applied is lost")
	}
}

// Guards against a transaction for each result: results that are due at once are recorded together, up to
// half a transaction, unless placements go first.
func TestDueResultsAreRecordedTogether(t *testing.T) {
	for _, tt := range []struct {
		name      string
		placement bool
		want      int
	}{{"nothing else to record", false, 4}, {"a placement goes first", true, 1}} {
		f := newFixture(t)
		var unfinished []*jobs.Job
		for k := range 6 {
			job := f.add(fmt.Sprintf("j-%d", k), 2, "standard")
			f.place(job, 0)
			unfinished = append(unfinished, job)
		}
		for f.w.HasDirty(f.table, 0) {
			f.apply(f.next(ampleCapacity), 20)
		}
		for _, job := range unfinished {
			allocation := job.Tasks[0].Allocation
			job.Tasks[0].Allocation, job.Tasks[0].State = nil, jobs.TaskDone
			job.Done++
			chunk := f.w.AttemptEnded(job, 0)
			chunk.EndedAttempts = append(chunk.EndedAttempts, allocation)
			f.w.MarkResult(job, 0)
		}
		if tt.placement {
			f.place(f.add("j-9", 2, "standard"), 0)
		}
		tx, _ := f.w.Next(f.table, ampleCapacity, f.w.resultDelay)
		if got := len(writtenKeys(tx)); got != tt.want {
			t.Errorf("%s: the transaction writes %q, want %d records", tt.name, writtenKeys(tx), tt.want)
		}
	}
}

// TestWroteDetectsEarlierCopy checks that the nonce identifies the records that the transaction wrote.
func TestWroteDetectsEarlierCopy(t *testing.T) {
	tx := &Transaction{nonce: "9.4"}
	final := store.FinalRecord{Status: wire.JobCancelled, Nonce: "other"}
	own := store.FinalRecord{Status: wire.JobDone, Nonce: "9.4"}
	tests := []struct {
		name            string
		record          any
		isJob           bool
		wrote, finished bool
	}{
		{"a chunk of this transaction", store.ChunkRecord{Nonce: "9.4"}, false, true, false},
		{"a chunk of another transaction", store.ChunkRecord{Nonce: "8.1"}, false, false, false},
		{"an unfinished job", store.JobRecord{Spec: wire.Spec{UID: "j-1"}}, true, false, false},
		{"a job finished by this transaction", store.JobRecord{Spec: wire.Spec{UID: "j-1"}, Final: &own}, true, true, true},
		{"a job cancelled by another transaction", store.JobRecord{Spec: wire.Spec{UID: "j-1"}, Final: &final}, true, false, true},
	}
	for _, tt := range tests {
		value, err := wire.Marshal(tt.record)
		if err != nil {
			t.Fatal(err)
		}
		wrote, finished, err := tx.Wrote(wire.Row{Value: value}, tt.isJob)
		if err != nil || wrote != tt.wrote || finished != tt.finished {
			t.Errorf("%s: wrote %t, finished %t, error %v", tt.name, wrote, finished, err)
		}
	}
	if _, _, err := tx.Wrote(wire.Row{Value: []byte{0xc1}}, true); err == nil {
		t.Error("no error for a record that can't be decoded")
	}
}
