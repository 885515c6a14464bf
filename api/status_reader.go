package api

import (
	"context"
	"errors"
	"sync"

	"cedardoor/clock"
	"cedardoor/peer"
	"cedardoor/store"
)

// statusReadTimeout limits the duration of one read, so that a query that waits for it can be relayed
// within queryTimeout.
const statusReadTimeout = 1200 * clock.Millisecond

// statusReader answers many queries with few reads. It tracks the states of unfinished jobs' records
// by reading the state service's changes. The read that answers a query starts after the query
// arrived, so the answer is never staler than one that any controller gave before the query. All
// queries that wait for the next read share it.
type statusReader struct {
	store       *store.Client
	clock       *clock.Clock
	counts      func(ctx context.Context, uids []string) map[string]peer.TaskCounts
	onFinal     func(uid string, final store.FinalRecord, revision uint64) // called with each final state found in a change; may be nil
	minInterval clock.Micros                                               // between reads

	mu       sync.Mutex             // guards the fields below
	records  map[string]recordState // of all records under store.PrefixJob, by job id
	loaded   bool
	revision uint64      // up to which all changes are applied
	next     *sharedRead // collects the queries for the next read
	running  bool        // whether a goroutine executes run
	lastRead clock.Micros
}

// sharedRead is one read with the queries that wait for it. Its results are valid once done is closed.
type sharedRead struct {
	uids   []string
	done   chan struct{}
	err    error
	states map[string]recordState
	counts map[string]peer.TaskCounts
}

// recordState is the state of a job's record under store.JobKey.
type recordState int

const (
	// recordAbsent: there is no record. The job is finished or was never accepted.
	recordAbsent recordState = iota
	// recordUnfinished: the job is unfinished.
	recordUnfinished
	// recordFinal: the job is finished, but its final state has not been moved out of the record yet.
	recordFinal
	// recordUnreadable: the record can't be decoded.
	recordUnreadable
)

// recordStateOf returns the state of a job's record, and the final state if the record holds one.
func recordStateOf(value []byte) (recordState, *store.FinalRecord) {
	switch final, err := store.DecodeFinalState(value); {
	case err != nil:
		return recordUnreadable, nil
	case final != nil:
		return recordFinal, final
	}
	return recordUnfinished, nil
}

// jobOfKey returns the job id in the key of an unfinished job's record.
func jobOfKey(key string) string { return key[min(len(store.PrefixJob), len(key)):] }

// read returns the current state of a job's record and the counts of the job's tasks.
func (r *statusReader) read(ctx context.Context, uid string) (recordState, peer.TaskCounts, error) {
	read := r.join(uid)
	select {
	case <-read.done:
		return read.states[uid], read.counts[uid], read.err
	case <-ctx.Done():
		return recordAbsent, peer.TaskCounts{}, ctx.Err()
	}
}

// join adds a query to the next read, and starts run if necessary.
func (r *statusReader) join(uid string) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &sharedRead{done: make(chan struct{})}
	}
	read := r.next
	read.uids = append(read.uids, uid)
	if !r.running {
		r.running = true
		go r.run()
	}
	return read
}

// run executes one read after another, at least minInterval apart, until no query waits.
func (r *statusReader) run() {
	for {
		r.mu.Lock()
		wait := r.lastRead + r.minInterval - r.clock.Now()
		r.mu.Unlock()
		if wait > 0 {
			<-r.clock.After(wait.Duration())
		}
		r.mu.Lock()
		read := r.next
		r.next = nil
		if read == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.lastRead = r.clock.Now()
		r.mu.Unlock()
		r.serve(read)
	}
}

// serve executes a read and answers its queries.
func (r *statusReader) serve(read *sharedRead) {
	ctx, cancel := context.WithTimeout(context.Background(), statusReadTimeout.Duration())
	defer cancel()
	counts := make(chan map[string]peer.TaskCounts, 1)
	go func() { counts <- r.counts(ctx, read.uids) }()
	read.err = r.catchUp(ctx)
	read.states = make(map[string]recordState, len(read.uids))
	r.mu.Lock()
	for _, uid := range read.uids {
		read.states[uid] = r.records[uid] // recordAbsent if there is none
	}
	r.mu.Unlock()
	if read.err == nil {
		read.counts = <-counts
	}
	close(read.done)
}

// catchUp applies all changes up to now. It first loads all records if that has not been done, or if
// the state service no longer has the changes.
func (r *statusReader) catchUp(ctx context.Context) error {
	r.mu.Lock()
	loaded, revision := r.loaded, r.revision
	r.mu.Unlock()
	if loaded {
		err := r.applyChanges(ctx, revision)
		if !errors.Is(err, store.ErrCompacted) {
			return err
		}
	}
	if err := r.load(ctx); err != nil {
		return err
	}
	// A list of several pages is not a snapshot of one revision. Applying the changes since the
	// first page makes it one.
	return r.catchUp(ctx)
}

// applyChanges reads and applies the changes after a revision.
func (r *statusReader) applyChanges(ctx context.Context, since uint64) error {
	changes, err := r.store.ChangesSince(ctx, store.PrefixJob, since)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range changes.Events {
		if event.Set == "" {
			delete(r.records, jobOfKey(event.Delete))
			continue
		}
		uid := jobOfKey(event.Set)
		state, final := recordStateOf(event.Value)
		r.records[uid] = state
		if final != nil && r.onFinal != nil {
			r.onFinal(uid, *final, event.ModRevision) // saves most queries of finished jobs a lookup
		}
	}
	r.revision = max(r.revision, changes.Revision)
	return nil
}

// load reads all records under store.PrefixJob.
func (r *statusReader) load(ctx context.Context) error {
	rows, revision, err := r.store.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return err
	}
	records := make(map[string]recordState, len(rows))
	for _, row := range rows {
		records[jobOfKey(row.Key)], _ = recordStateOf(row.Value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.revision, r.loaded = records, revision, true
	return nil
}
