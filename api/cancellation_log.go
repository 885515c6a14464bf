package api

import (
	"slices"
	"sync"
)

const (
	// maxCancellations is how many cancellations are remembered.
	maxCancellations = 8192
	// maxListedCancellations is how many are listed at a time, so that the list fits into a message
	// between controllers.
	maxListedCancellations = 1024
)

// CancellationLog remembers which jobs this controller has told users are cancelled, or may be about
// to tell them, whether it made the cancellation, relayed it or read of it. A leader whom alone the
// state service refuses asks the other controllers for them, since it can't learn otherwise which
// jobs were cancelled through them.
//
// The log is bounded. Dropping a cancellation raises the revision from which on the log is complete,
// except one of unknown outcome: no user was told of that, and whoever is told later is told from a
// record, whose revision is recorded first.
type CancellationLog struct {
	mu sync.Mutex // guards the fields below
	// revisions are those of the changes that cancelled the jobs, zero while the outcome is unknown.
	revisions map[string]uint64
	order     []string // the same jobs, the oldest first
	// droppedRevision is the highest revision of what was dropped.
	droppedRevision uint64
}

// Expect adds a cancellation that is about to be sent, so that its outcome is unknown.
func (c *CancellationLog) Expect(uid string) { c.add(uid, 0) }

// Record adds a cancellation that is durable since the given revision. It must be called before any
// user is told.
func (c *CancellationLog) Record(uid string, revision uint64) { c.add(uid, revision) }

func (c *CancellationLog) add(uid string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	if previous, known := c.revisions[uid]; known {
		c.revisions[uid] = max(previous, revision)
		return
	}
	c.revisions[uid] = revision
	c.order = append(c.order, uid)
	for len(c.revisions) > maxCancellations {
		c.dropOldest()
	}
}

// dropOldest drops the oldest cancellation. The caller holds mu.
func (c *CancellationLog) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	c.droppedRevision = max(c.droppedRevision, c.revisions[oldest])
	delete(c.revisions, oldest)
}

// Discard removes a cancellation that is known not to have been executed.
func (c *CancellationLog) Discard(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision, known := c.revisions[uid]; !known || revision != 0 {
		return
	}
	delete(c.revisions, uid)
	// The search is from the end: what is discarded was added a moment ago.
	for i := len(c.order) - 1; i >= 0; i-- {
		if c.order[i] == uid {
			c.order = slices.Delete(c.order, i, i+1)
			return
		}
	}
}

// Revision is that of a job's cancellation; zero if none is known, or its outcome is not.
func (c *CancellationLog) Revision(uid string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[uid]
}

// Since lists the cancellations after a revision and those of unknown outcome. The list is not
// complete, and not returned, if some were dropped, if there are too many for a message, or if this
// process started later than the revision: firstRevision is that of the state service's first
// response to it, zero if there was none yet.
func (c *CancellationLog) Since(revision, firstRevision uint64) (uids []string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if firstRevision == 0 || max(firstRevision, c.droppedRevision) > revision {
		return nil, false
	}
	for _, uid := range c.order {
		if cancelled := c.revisions[uid]; cancelled == 0 || cancelled > revision {
			uids = append(uids, uid)
		}
	}
	if len(uids) > maxListedCancellations {
		return nil, false
	}
	return uids, true
}
