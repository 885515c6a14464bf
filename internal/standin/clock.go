package standin

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// SynctestClock is the real clock for services in a synctest bubble. Its channels are fed by
// functions: under the race detector, Go 1.26 crashes in a synctest bubble when a
// timer is due as it is made, or was due before a goroutine looks at its channel
// (the runtime runs it on the system stack, without a context of the detector's).
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
	t := &ticker{every: d, ch: make(chan time.Time, 1), start: make(chan struct{})}
	t.timer = time.AfterFunc(d, t.tick)
	close(t.start)
	return t
}

type ticker struct {
	every time.Duration
	ch    chan time.Time
	start chan struct{} // closed when timer is set
	timer *time.Timer
	over  atomic.Bool
}

func (t *ticker) tick() {
	<-t.start
	if t.over.Load() {
		return
	}
	select {
	case t.ch <- time.Now():
	default:
	}
	t.timer.Reset(t.every)
}

func (t *ticker) Chan() <-chan time.Time { return t.ch }
func (t *ticker) Reset(time.Duration)    { panic("not used") }
func (t *ticker) Stop()                  { t.over.Store(true); t.timer.Stop() }
