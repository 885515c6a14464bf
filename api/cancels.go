package api

import "sync"

// CancellationLog remembers which jobs this node has told users are cancelled, or may
// be about to tell them so, whether it made the cancel, passed it on or only
// read it. A leader whom the state service refuses alone asks for them: it has
// no other way to learn what was cancelled through the others meanwhile.
//
// It is bounded. What it drops raises the epoch from which it can vouch, but for
// what has an unknown outcome: nobody was told of that, and who is told later is
// told from a record, whose epoch is noted first.
type CancellationLog struct {
	mu     sync.Mutex        // guards all below
	epochs map[string]uint64 // of the changes that cancelled the jobs; zero where the outcome is unknown
	oldest []string          // the same jobs, longest known first
	floor  uint64            // the highest epoch of what was dropped
}

// maxCancels is how many are remembered, and maxTold how many are told at a
// time: that many names fit a message between controllers.
const (
	maxCancels = 8192
	maxTold    = 1024
)

// Expect notes a cancel that is about to be sent.
func (c *CancellationLog) Expect(uid string) { c.note(uid, 0) }

// Record notes a cancel that is durable since the given epoch. Called before
// anybody is told.
func (c *CancellationLog) Record(uid string, epoch uint64) { c.note(uid, epoch) }

func (c *CancellationLog) note(uid string, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epochs == nil {
		c.epochs = map[string]uint64{}
	}
	if known, there := c.epochs[uid]; there {
		c.epochs[uid] = max(known, epoch)
		return
	}
	c.epochs[uid] = epoch
	c.oldest = append(c.oldest, uid)
	for len(c.epochs) > maxCancels {
		first := c.oldest[0]
		c.oldest = c.oldest[1:]
		if e, there := c.epochs[first]; there {
			c.floor = max(c.floor, e)
			delete(c.epochs, first)
		}
	}
}

// Discard notes that a cancel was not carried out.
func (c *CancellationLog) Discard(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch, there := c.epochs[uid]; there && epoch == 0 {
		delete(c.epochs, uid)
		for i := len(c.oldest) - 1; i >= 0; i-- { // it came lately
			if c.oldest[i] == uid {
				c.oldest = append(c.oldest[:i], c.oldest[i+1:]...)
				break
			}
		}
	}
}

// Revision is that of a job's cancel; zero when it is not known here.
func (c *CancellationLog) Revision(uid string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epochs[uid]
}

// Since lists the cancels of later epochs than the given one, and those of
// unknown outcome. It is false when the list would not be whole: some were
// dropped, there are too many for a message, or this process, whose first answer
// from the state service named the epoch first (zero: none yet), began later.
func (c *CancellationLog) Since(epoch, first uint64) (uids []string, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first == 0 || max(first, c.floor) > epoch {
		return nil, false
	}
	for _, uid := range c.oldest {
		if e := c.epochs[uid]; e == 0 || e > epoch {
			uids = append(uids, uid)
		}
	}
	if len(uids) > maxTold {
		return nil, false
	}
	return uids, true
}
