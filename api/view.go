package api

import (
	"context"
	"errors"
	"sync"

	"cedardoor/clock"
	"cedardoor/store"
)

// view answers many queries with few reads. It keeps which jobs are unfinished
// from the state service's changes, and before it answers it makes sure that
// it has every change up to a moment after the question came: one read does
// that for all questions that wait meanwhile. So an answer is never older than
// one that any node gave before the question.
type view struct {
	st    *store.Client
	ck    *clock.Clock
	count func(ctx context.Context, uids []string) map[string][2]int
	over  func(uid string, rec store.FinalRecord, epoch uint64) // told of final states that changes bring, if set
	pause clock.Micros                                          // least time between reads

	mu     sync.Mutex          // guards all below
	live   map[string]standing // the jobs that have a record among the unfinished
	loaded bool
	epoch  uint64
	next   *round // gathers the questions for the next read
	busy   bool   // a read is under way, or about to be
	last   clock.Micros
}

// round is one read and the questions that wait for it.
type round struct {
	uids   []string
	done   chan struct{}
	err    error
	state  map[string]standing
	counts map[string][2]int // tasks done and running, for display
}

// standing is where a job's record is.
type standing int

const (
	elsewhere  standing = iota // among the final states, or nowhere
	unfinished                 // among the unfinished jobs
	settled                    // still among them, but it says that the job is over
	unreadable                 // among them, and can't be decoded: nobody knows the job's state
)

// standingOf tells what the record of an unfinished job says, with the final state if it
// holds one.
func standingOf(value []byte) (standing, *store.FinalRecord) {
	switch over, err := store.FinalStateIn(value); {
	case err != nil:
		return unreadable, nil
	case over != nil:
		return settled, over
	}
	return unfinished, nil
}

// readLimit bounds one read: users wait two seconds for an answer.
const readLimit = 1200 * clock.Millisecond

// ask tells where a job's record is now, and its counts.
func (v *view) ask(ctx context.Context, uid string) (at standing, counts [2]int, err error) {
	v.mu.Lock()
	if v.next == nil {
		v.next = &round{done: make(chan struct{})}
	}
	r := v.next
	r.uids = append(r.uids, uid)
	if !v.busy {
		v.busy = true
		go v.run()
	}
	v.mu.Unlock()
	select {
	case <-r.done:
		return r.state[uid], r.counts[uid], r.err
	case <-ctx.Done():
		return elsewhere, counts, ctx.Err()
	}
}

// run reads for one round after another until none waits.
func (v *view) run() {
	for {
		v.mu.Lock()
		wait := v.last + v.pause - v.ck.Now()
		v.mu.Unlock()
		if wait > 0 {
			<-v.ck.After(wait.Duration())
		}
		v.mu.Lock()
		r := v.next
		v.next = nil
		if r == nil {
			v.busy = false
			v.mu.Unlock()
			return
		}
		v.last = v.ck.Now()
		v.mu.Unlock()
		v.read(r)
	}
}

func (v *view) read(r *round) {
	ctx, cancel := context.WithTimeout(context.Background(), readLimit.Duration())
	defer cancel()
	counted := make(chan map[string][2]int, 1)
	go func() { counted <- v.count(ctx, r.uids) }()
	err := v.catchUp(ctx)
	r.err = err
	r.state = make(map[string]standing, len(r.uids))
	v.mu.Lock()
	for _, uid := range r.uids {
		r.state[uid] = v.live[uid] // elsewhere, if it is not there
	}
	v.mu.Unlock()
	if err == nil {
		r.counts = <-counted
	}
	close(r.done)
}

// catchUp takes in every change up to now.
func (v *view) catchUp(ctx context.Context) error {
	v.mu.Lock()
	loaded, epoch := v.loaded, v.epoch
	v.mu.Unlock()
	if loaded {
		ch, err := v.st.ChangesSince(ctx, store.PrefixJob, epoch)
		if err == nil {
			v.mu.Lock()
			for _, ev := range ch.Events {
				if ev.Set != "" {
					uid := ev.Set[min(len(store.PrefixJob), len(ev.Set)):]
					at, over := standingOf(ev.Value)
					v.live[uid] = at
					if over != nil && v.over != nil {
						v.over(uid, *over, ev.ModRevision) // most polls of a job that is done need no look-up
					}
				} else {
					delete(v.live, ev.Delete[min(len(store.PrefixJob), len(ev.Delete)):])
				}
			}
			v.epoch = max(v.epoch, ch.Revision)
			v.mu.Unlock()
			return nil
		}
		if !errors.Is(err, store.ErrCompacted) {
			return err
		}
	}
	rows, epoch, err := v.st.List(ctx, store.Urgent, store.PrefixJob)
	if err != nil {
		return err
	}
	live := make(map[string]standing, len(rows))
	for _, row := range rows {
		live[row.Key[min(len(store.PrefixJob), len(row.Key)):]], _ = standingOf(row.Value)
	}
	v.mu.Lock()
	v.live, v.epoch, v.loaded = live, epoch, true
	v.mu.Unlock()
	// A listing of several pages is not of one moment: the changes since make it so.
	return v.catchUp(ctx)
}
