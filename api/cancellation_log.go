package api

import (
	"slices"
	"sync"
)

const (
	// maxCancellations is the maximum number of cancellations in a log.
	maxCancellations = 8192
	// maxListedCancellations is the maximum length of a list of cancellations, which has to fit into
	// a message between controllers.
	maxListedCancellations = 1024
)

// CancellationLog records the jobs that this controller has reported to users as cancelled, or may be
// about to, whether it committed the cancellation, relayed it or read it. A leader that the state
// service refuses requests the other controllers' cancellations: the service may have refused them
// later than the leader, which can't learn otherwise which jobs were cancelled through them.
//
// The log is bounded. Dropping a cancellation raises the revision from which the log is complete. One
// of unknown outcome can be dropped without that: no user was told of it, and before a user is told
// later, the cancellation is read from the job's final state and recorded with its revision.
type CancellationLog struct {
	mu sync.Mutex // guards the fields below
	// revisions maps each job to the revision of its cancellation, zero while the outcome is unknown.
	revisions map[string]uint64
	order     []string // the same jobs, oldest first
	// droppedRevision is the highest revision of a dropped cancellation.
	droppedRevision uint64
}

// AddPending adds a cancellation that is about to be sent. Its outcome is unknown until Record or
// Discard is called.
func (c *CancellationLog) AddPending(uid string) { c.add(uid, 0) }

// Record adds a cancellation that became durable at the given revision. It must be called before any
// user is told of the cancellation.
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

// dropOldest drops the oldest cancellation and updates droppedRevision. The caller holds mu.
func (c *CancellationLog) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	c.droppedRevision = max(c.droppedRevision, c.revisions[oldest])
	delete(c.revisions, oldest)
}

// Discard removes a cancellation that is known not to have been executed. It has no effect on one that
// was recorded.
func (c *CancellationLog) Discard(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision, known := c.revisions[uid]; !known || revision != 0 {
		return
	}
	delete(c.revisions, uid)
	// Search from the end: a discarded cancellation was added a moment ago.
	for i := len(c.order) - 1; i >= 0; i-- {
		if c.order[i] == uid {
			c.order = slices.Delete(c.order, i, i+1)
			return
		}
	}
}

// Revision returns the revision of a job's cancellation, or zero if no cancellation or only one of
// unknown outcome is known.
func (c *CancellationLog) Revision(uid string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[uid]
}

// Since lists the jobs cancelled after a revision and those whose cancellation has an unknown outcome.
// It returns false and no list if the list would be too long for a message or may be incomplete: a
// cancellation after the revision was dropped, or this process may have started after the revision.
// firstRevision is the revision of the state service's first response to this process, zero if there
// was none yet.
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
