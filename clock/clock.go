// Package clock represents times and durations in whole microseconds, and wraps the real clock or a
// test's fake clock.
package clock

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Micros is a duration, or a reading of a monotonic or wall clock, in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// FromSeconds converts seconds, as used on the wire, and rounds to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * float64(Second))) }

// Seconds returns m in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Drift is the maximum drift between the monotonic clocks of two processes, as a share of the
// elapsed time.
const Drift = 0.001

// Stretch lengthens a duration by a share of itself, rounded up, for example by Drift.
func (m Micros) Stretch(share float64) Micros { return m + Micros(math.Ceil(float64(m)*share)) }

// Clock provides monotonic and wall-clock time in Micros.
type Clock struct {
	clockwork.Clock
	start time.Time
}

// New returns a Clock that starts now and reads the given source, or the real clock if it is nil.
func New(source clockwork.Clock) *Clock {
	if source == nil {
		source = clockwork.NewRealClock()
	}
	return &Clock{Clock: source, start: source.Now()}
}

// Now returns the time since the Clock started. It is always positive, so that zero can mean never.
func (c *Clock) Now() Micros { return Micros(c.Since(c.start)/time.Microsecond) + 1 }

// Wall returns the wall-clock time as microseconds since the Unix epoch.
func (c *Clock) Wall() Micros { return Micros(c.Clock.Now().UnixMicro()) }
