// Package clock represents all times in whole microseconds, and wraps the real clock or that of a test.
package clock

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Micros is a duration, or a time of a process's monotonic clock, in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// FromSeconds converts the protocol's decimal seconds, rounded to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * float64(Second))) }

// Seconds converts to decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Drift is the maximum drift between the monotonic clocks of two processes, as a share of the time
// that passes.
const Drift = 0.001

// Stretch adds a share of a duration to it, rounded up, such as the drift between two clocks.
func (m Micros) Stretch(share float64) Micros { return m + Micros(math.Ceil(float64(m)*share)) }

// Clock is a monotonic clock with the time of day.
type Clock struct {
	clockwork.Clock
	start time.Time
}

// New makes a Clock that starts now and reads the given source, the real clock if it is nil.
func New(source clockwork.Clock) *Clock {
	if source == nil {
		source = clockwork.NewRealClock()
	}
	return &Clock{Clock: source, start: source.Now()}
}

// Now is the time since the Clock started. It is always positive, so that zero can mean never.
func (c *Clock) Now() Micros { return Micros(c.Since(c.start)/time.Microsecond) + 1 }

// Wall is the time of day, in microseconds since 1970 UTC.
func (c *Clock) Wall() Micros { return Micros(c.Clock.Now().UnixMicro()) }
