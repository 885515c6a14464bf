package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrCrowded means that a submission can't be taken now: it would have to wait for
// longer than its sender may be kept waiting.
var ErrCrowded = errors.New("too many submissions")

// equalPart is the part of the changes that is shared equally among the teams, whatever
// they are guaranteed: a team without a guarantee is heard, too.
const equalPart = 0.5

// ownBurst is how many seconds' worth of a team's own share it may use at once.
const ownBurst = 0.25

// leastBurst is how many submissions a controller takes at once at the least.
const leastBurst = 4

// growth is the part of the most that the rate grows by with each change that the state
// service takes, and shrink the part that is left when it refuses one.
const (
	growth = 0.03
	shrink = 0.6
)

// Admission divides the changes that one controller may ask of the state service for
// its users' sake among teams. A team's own share is always there for it; what the
// others leave of theirs, any team may use, first come first served. Controllers need
// not talk to each other for it: each divides its own part alike.
type Admission struct {
	most, least rate.Limit
	common      *rate.Limiter // counts every submission that is let in
	teams       map[string]*ownShare

	mu sync.Mutex // guards the limiters: a decision and a change of rate are whole
}

// ownShare is what is kept for one team.
type ownShare struct {
	part    float64
	limiter *rate.Limiter
}

// NewAdmission makes an Admission of at most so many changes a second. Where the state
// service refuses changes they become fewer, but not less than least.
func NewAdmission(teams map[string]Limits, most, least float64) *Admission {
	burst := max(leastBurst, int(most))
	a := &Admission{most: rate.Limit(most), least: rate.Limit(least), common: rate.NewLimiter(rate.Limit(most), burst),
		teams: make(map[string]*ownShare, len(teams))}
	for name, part := range shares(teams) {
		a.teams[name] = &ownShare{part, rate.NewLimiter(rate.Limit(part*most), max(1, int(part*most*ownBurst)))}
	}
	return a
}

// shares divides one among the teams: a part equally, the rest by what they are
// guaranteed of each resource.
func shares(teams map[string]Limits) map[string]float64 {
	var sum Amount
	for _, l := range teams {
		sum = sum.Plus(l.Guarantee)
	}
	resources := 0.0
	for _, units := range []Units{sum.Cores, sum.Accelerators} {
		if units > 0 {
			resources++
		}
	}
	equal := equalPart
	if resources == 0 {
		equal = 1
	}
	out := make(map[string]float64, len(teams))
	for name, l := range teams {
		out[name] = equal / float64(len(teams))
		if resources > 0 {
			guaranteed := fraction(l.Guarantee.Cores, sum.Cores) + fraction(l.Guarantee.Accelerators, sum.Accelerators)
			out[name] += (1 - equal) * guaranteed / resources
		}
	}
	return out
}

func fraction(part, whole Units) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Admit lets a submission of a team in: at once by the team's own share, or when its
// turn comes, if that is within the given patience. Otherwise it is refused at once.
func (a *Admission) Admit(ctx context.Context, team string, patience time.Duration) error {
	turn, wait, ok := a.reserve(team, patience)
	if !ok {
		return fmt.Errorf("team %q: %w", team, ErrCrowded)
	}
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		turn.Cancel()
		return fmt.Errorf("team %q: %w", team, ctx.Err())
	}
}

// reserve finds a submission its turn. One at a time: a turn that is given back while
// others are being taken would be lost to all.
func (a *Admission) reserve(team string, patience time.Duration) (turn *rate.Reservation, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	own := a.teams[team]
	mine := own != nil && own.limiter.AllowN(now, 1)
	turn = a.common.ReserveN(now, 1)
	if mine {
		return turn, 0, true // counted, not waited for
	}
	wait = turn.DelayFrom(now)
	if !turn.OK() || wait > patience {
		turn.CancelAt(now)
		return nil, 0, false
	}
	return turn, wait, true
}

// Refused notes that the state service had too much to do for a user's change: fewer
// submissions are let in from now on.
func (a *Admission) Refused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setRate(max(a.least, shrink*a.common.Limit()))
}

// Taken notes that the state service took a user's change: more are let in again.
func (a *Admission) Taken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.common.Limit(); now < a.most {
		a.setRate(min(a.most, now+growth*a.most))
	}
}

// setRate changes how much is let in. The caller holds mu.
func (a *Admission) setRate(total rate.Limit) {
	a.common.SetLimit(total)
	for _, own := range a.teams {
		own.limiter.SetLimit(rate.Limit(own.part) * total)
	}
}
