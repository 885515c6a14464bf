package standin

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// SynctestClock is a real clock for services in a synctest bubble. It sends to its channels
// from time.AfterFunc: under the race detector, Go 1.26 crashes in a synctest bubble if the
// timer of a channel is already due when it is created, or becomes due before a goroutine
// looks at the channel. (The runtime then runs the timer on the system stack, without a
// context of the race detector.)
type SynctestClock struct{ clockwork.Clock }

// NewSynctestClock returns a SynctestClock.
func NewSynctestClock() SynctestClock { return SynctestClock{clockwork.NewRealClock()} }

// After implements clockwork.Clock.
func (SynctestClock) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- time.Now()
		return ch
	}
	time.AfterFunc(d, func() { ch <- time.Now() })
	return ch
}

// NewTicker implements clockwork.Clock.
func (SynctestClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &ticker{interval: d, ch: make(chan time.Time, 1), ready: make(chan struct{})}
	t.timer = time.AfterFunc(d, t.tick)
	close(t.ready)
	return t
}

// ticker is a clockwork.Ticker that is driven by time.AfterFunc.
type ticker struct {
	interval time.Duration
	ch       chan time.Time
	ready    chan struct{} // closed once timer is set
	timer    *time.Timer
	stopped  atomic.Bool
}

func (t *ticker) tick() {
	<-t.ready
	if t.stopped.Load() {
		return
	}
	select {
	case t.ch <- time.Now():
	default:
	}
	t.timer.Reset(t.interval)
}

func (t *ticker) Chan() <-chan time.Time { return t.ch }
func (t *ticker) Reset(time.Duration)    { panic("not used") }
func (t *ticker) Stop()                  { t.stopped.Store(true); t.timer.Stop() }
