package statewriter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// TestRejectedTransactionIsSplit checks that the changes of a rejected transaction are written one by
// one after a pause, so that an invalid change can't block the others.
func TestRejectedTransactionIsSplit(t *testing.T) {
	f := newFixture(t)
	f.place(f.add("j-1", 2, "standard"), 0)
	f.place(f.add("j-2", 2, "standard"), 0)
	tx := f.next(ampleCapacity)
	f.checkKeys(tx, "p/j-1/00000", "p/j-2/00000")
	f.w.Rejected(tx, false, f.now)
	f.place(f.add("j-3", 2, "standard"), 0)
	tx = f.next(ampleCapacity)
	f.checkKeys(tx, "p/j-3/00000")
	f.apply(tx, 20)
	f.checkKeys(f.next(ampleCapacity))
	if f.w.HasDirty(f.table, f.now) {
		t.Error("refused changes count as to be recorded while they pause")
	}
	f.now += minRefusalPause
	var keys []string
	for range 2 {
		tx = f.next(ampleCapacity)
		keys = append(keys, writtenKeys(tx)...)
		if len(writtenKeys(tx)) != 1 {
			t.Errorf("transaction writes %q, want one record", writtenKeys(tx))
		}
		f.apply(tx, 21)
	}
	slices.Sort(keys)
	if want := []string{"p/j-1/00000", "p/j-2/00000"}; !slices.Equal(keys, want) {
		t.Errorf("written alone: %q, want %q", keys, want)
	}
}

// service is a state service that accepts transactions within its limits, but none that writes a refused
// key.
type service struct {
	txnOps, valueBytes int
	refusedKey         string
	records            map[string]any
	revision           uint64
	refusals           map[string][]clock.Micros // by key, when transactions that write it were refused
	learned            bool                      // whether the writer has learned a limit
}

func newService(txnOps, valueBytes int) *service {
	return &service{txnOps: txnOps, valueBytes: valueBytes, records: map[string]any{}, revision: 100, refusals: map[string][]clock.Micros{}}
}

// accepts reports whether the service accepts a transaction.
func (s *service) accepts(t *testing.T, txn *wire.Txn) bool {
	t.Helper()
	if len(txn.Operations) > s.txnOps || len(txn.Conditions) > 4*s.txnOps {
		return false
	}
	for _, operation := range txn.Operations {
		if operation.Set+operation.Delete == s.refusedKey || operation.Set != "" && jsonBytes(t, operation.Value) > s.valueBytes {
			return false
		}
	}
	return true
}

// jsonBytes returns the size of a value in the JSON form.
func jsonBytes(t *testing.T, value any) int {
	t.Helper()
	raw, err := wire.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// run lets the writer record its changes for a while, one transaction per millisecond, with limits that it
// learns only from refusals. It ends when nothing is left to record.
func (f *fixture) run(s *service, c capacity, duration clock.Micros) (idle bool) {
	f.t.Helper()
	for end := f.now + duration; f.now < end; f.now += clock.Millisecond {
		tx := f.next(c)
		if tx == nil {
			if f.w.Backlog() == (Backlog{}) {
				return true
			}
			continue
		}
		if !s.accepts(f.t, &tx.Txn) {
			for _, key := range writtenKeys(tx) {
				s.refusals[key] = append(s.refusals[key], f.now)
			}
			f.w.Rejected(tx, false, f.now)
			continue
		}
		s.revision++
		for _, operation := range tx.Txn.Operations {
			if operation.Set != "" {
				s.records[operation.Set] = operation.Value
			} else {
				delete(s.records, operation.Delete)
			}
		}
		f.apply(tx, s.revision)
		txnOps, valueBytes := f.w.Learned()
		s.learned = s.learned || txnOps > 0 || valueBytes > 0
		if txnOps > 0 {
			c.txnOps = txnOps
		}
		if valueBytes > 0 {
			c.valueBytes = valueBytes
		}
	}
	return false
}

// checkDurable checks that all attempts of a job are durable.
func checkDurable(t *testing.T, table []*jobs.Job) {
	t.Helper()
	for _, job := range table {
		for i := range job.Tasks {
			if allocation := job.Tasks[i].Allocation; allocation != nil && !allocation.Durable {
				t.Errorf("%s is not durable", allocation.Task)
			}
		}
	}
}

// Guards against a refused change that delays others or is sent again without a pause (incident 0029),
// whatever the reason of the refusal: one of the state service's own, the number of changes, or both.
func TestRefusedChangeDelaysNothingElse(t *testing.T) {
	for _, tt := range []struct {
		name, refusedKey string
		txnOps           int
	}{
		{"one key", "p/j-10/00000", testTxnOps},
		{"a shared record", "s/9.1", testTxnOps},
		{"too many changes", "", 4},
		{"one key, and too many changes", "p/j-10/00000", 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			s := newService(tt.txnOps, testValueKB<<10)
			s.refusedKey = tt.refusedKey
			var others []*jobs.Job
			for k := range 30 {
				job := f.add(fmt.Sprintf("j-%d", 10+k), 1+k%3, "standard")
				for i := range job.Tasks {
					f.place(job, i)
				}
				refused := tt.refusedKey == store.ChunkKey(job.UID, 0) || job.Record.Shared != nil && tt.refusedKey == job.Record.Shared.Key
				if !refused {
					others = append(others, job)
				}
			}
			f.run(s, ampleCapacity, 2*clock.Second)
			checkDurable(t, others)
			f.run(s, ampleCapacity, 60*clock.Second)
			for key, times := range s.refusals {
				for i := 1; i < len(times); i++ {
					if pause := times[i] - times[i-1]; pause < minRefusalPause {
						t.Errorf("%s: sent again %v after a refusal", key, pause.Duration())
					}
				}
				if len(times) > 14 {
					t.Errorf("%s: refused %d times", key, len(times))
				}
			}
			if tt.refusedKey == "" && !f.run(s, ampleCapacity, clock.Second) {
				t.Errorf("still to be recorded: %+v", f.w.Backlog())
			}
		})
	}
}

// Guards against a change that is never sent again: once the service accepts the key, the change is
// recorded within the longest pause. That a small record was refused shows nothing about its limits.
func TestRefusedChangeIsSentAgain(t *testing.T) {
	f := newFixture(t)
	s := newService(testTxnOps, testValueKB<<10)
	s.refusedKey = "p/j-1/00000"
	job := f.add("j-1", 2, "standard")
	f.place(job, 0)
	f.run(s, ampleCapacity, 100*clock.Second)
	s.refusedKey = ""
	if !f.run(s, ampleCapacity, maxRefusalPause+clock.Second) {
		t.Errorf("still to be recorded: %+v", f.w.Backlog())
	}
	checkDurable(t, []*jobs.Job{job})
	if s.learned {
		t.Error("a limit was learned from the refusal of a small record")
	}
}

// recordedAttempts returns the attempts of tasks that the records of a service hold, and fails if a task
// has two.
func recordedAttempts(t *testing.T, s *service) map[string]uint64 {
	t.Helper()
	attempts := map[string]uint64{}
	add := func(task string, attempt uint64) {
		if _, twice := attempts[task]; twice {
			t.Errorf("two records hold an attempt of %s", task)
		}
		attempts[task] = attempt
	}
	for key, value := range s.records {
		switch record := value.(type) {
		case store.ChunkRecord:
			uid, firstTask, _ := store.ParseChunkKey(key)
			_, rows, err := record.Decode(store.TasksPerChunk)
			if err != nil {
				t.Fatalf("%s: %v", key, err)
			}
			for _, row := range rows {
				add(fmt.Sprintf("%s/%d", uid, firstTask+row.Index), row.Attempt)
			}
		case store.SharedRecord:
			for _, row := range record.Rows {
				add(row.UID+"/0", row.Attempt)
			}
		}
	}
	return attempts
}

// lowLimits are how a test of records that are too large lets the writer know of lower limits.
var lowLimits = []struct {
	name      string
	announced bool
}{{"announced", true}, {"learned", false}}

// Guards against a shared record that is too large for lower limits, or has too many conditions, and is
// never written (incident 0030): one that is stored, and one that is not.
func TestLargeSharedRecordIsDivided(t *testing.T) {
	const txnOps, valueBytes = 8, 2 << 10
	for _, tt := range lowLimits {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			s := newService(24, testValueKB<<10)
			high := capacity{spare: 24, txnOps: 24}
			f.w.lastLimits.operations = 24
			var placed []*jobs.Job
			add := func(from, to int) {
				for k := from; k < to; k++ {
					job := f.add(fmt.Sprintf("j-%06d", k), 1, "standard")
					f.place(job, 0)
					placed = append(placed, job)
				}
			}
			add(0, 60)
			if !f.run(s, high, clock.Second) {
				t.Fatal("not recorded within the high limits")
			}
			for _, job := range placed[:40] { // new attempts in the stored record
				f.fleet.Remove(job.Tasks[0].Allocation, f.now)
				f.w.AttemptEnded(job, 0)
				f.place(job, 0)
			}
			add(60, 120)
			s.txnOps, s.valueBytes = txnOps, valueBytes
			low := high
			if tt.announced {
				low.txnOps, low.valueBytes = txnOps, valueBytes
			}
			f.run(s, low, 3*clock.Second)
			checkDurable(t, placed)
			if got := len(recordedAttempts(t, s)); got != len(placed) {
				t.Errorf("attempts of %d jobs are recorded, want %d", got, len(placed))
			}
			if tt.announced && len(s.refusals) > 0 {
				t.Errorf("refused within the announced limits: %v", s.refusals)
			}
		})
	}
}

// Guards against a chunk that is too large for lower limits and is never written (incident 0031).
func TestLargeChunkIsDivided(t *testing.T) {
	const tasks = 300
	for _, tt := range lowLimits {
		for _, valueBytes := range []int{2 << 10, 700} {
			t.Run(fmt.Sprintf("%s, %d bytes", tt.name, valueBytes), func(t *testing.T) {
				f := newFixture(t)
				s := newService(testTxnOps, testValueKB<<10)
				job := f.add("j-1", tasks, "standard")
				place := func(from, to int) {
					for i := from; i < to; i++ { // each on a machine of its own, so that 2 KiB are too few
						f.machine = f.fleet.Ensure(fmt.Sprintf("n-%s%03d", strings.Repeat("0", 17), i), 0)
						f.place(job, i)
					}
				}
				place(0, 250)
				if !f.run(s, ampleCapacity, clock.Second) {
					t.Fatal("not recorded within the high limits")
				}
				for i := range 100 {
					f.finish(job, 2*i)
				}
				place(250, tasks)
				s.valueBytes = valueBytes
				low := ampleCapacity
				if tt.announced {
					low.valueBytes = valueBytes
				}
				if !f.run(s, low, 5*clock.Second) {
					t.Errorf("still to be recorded: %+v", f.w.Backlog())
				}
				checkDurable(t, []*jobs.Job{job})
				if got := len(recordedAttempts(t, s)); got != tasks-100 {
					t.Errorf("%d attempts are recorded, want %d", got, tasks-100)
				}
				for i := range tasks {
					if allocation := job.Tasks[i].Allocation; allocation != nil {
						f.finish(job, i)
					}
				}
				if !f.run(s, low, 5*clock.Second) || len(s.records) != 1 {
					t.Errorf("%d records are left of a job that is done, backlog %+v", len(s.records), f.w.Backlog())
				}
			})
		}
	}
}

// Guards against a change that is never written since it is divided into more parts than a transaction may
// hold, or into too few, where neither limit is known (found by a random schedule): whatever the
// limits are, records that fit within them are found.
func TestRecordsFitUnknownLimits(t *testing.T) {
	for _, txnOps := range []int{3, 4, 5, 8, 24} {
		for _, valueBytes := range []int{1200, 2 << 10, 3 << 10, 8 << 10} {
			for _, believed := range []capacity{{txnOps: 24}, {txnOps: 8, valueBytes: 3 << 10}, {txnOps: 4, valueBytes: 1 << 10}} {
				believed.spare = 24
				t.Run(fmt.Sprintf("%d operations, %d bytes, believed %+v", txnOps, valueBytes, believed), func(t *testing.T) {
					t.Parallel()
					checkUnknownLimits(t, newService(txnOps, valueBytes), believed)
				})
			}
		}
	}
}

// checkUnknownLimits checks that chunks and shared records are written within the limits of a service.
func checkUnknownLimits(t *testing.T, s *service, believed capacity) {
	f := newFixture(t)
	f.w.lastLimits = limits{operations: 24, valueBytes: testValueKB << 10}
	var placed []*jobs.Job
	for k := range 60 {
		placed = append(placed, f.add(fmt.Sprintf("j-%06d", k), 1, "standard"))
	}
	for _, uid := range []string{"j-1", "j-2", "j-3"} {
		placed = append(placed, f.add(uid, 151, "standard"))
	}
	for _, job := range placed {
		for i := range job.Tasks {
			f.place(job, i)
		}
	}
	if !f.run(s, believed, 20*clock.Second) {
		t.Errorf("still to be recorded: %+v, refused %v", f.w.Backlog(), s.refusals)
	}
	checkDurable(t, placed)
}
