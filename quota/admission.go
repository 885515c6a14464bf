package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrOverloaded means that a submission can't be taken now: it would have to wait for
// longer than its sender may be kept waiting.
var ErrOverloaded = errors.New("too many submissions")

// equalShare is the part of the changes that is shared equally among the teams, whatever
// they are guaranteed: a team without a guarantee is heard, too.
const equalShare = 0.5

// teamBurstSeconds is how many seconds' worth of a team's own share it may use at once.
const teamBurstSeconds = 0.25

// minBurst is how many submissions a controller takes at once at the least.
const minBurst = 4

// rateGrowth is the part of the most that the rate grows by with each change that the state
// service takes, and shrink the part that is left when it refuses one.
const (
	rateGrowth = 0.03
	rateShrink = 0.6
)

// Admission divides the changes that one controller may ask of the state service for
// its users' sake among teams. A team's own share is always there for it; what the
// others leave of theirs, any team may use, first come first served. Controllers need
// not talk to each other for it: each divides its own part alike.
type Admission struct {
	maxRate, minRate rate.Limit
	total            *rate.Limiter // counts every submission that is let in
	teams            map[string]*teamShare

	mu sync.Mutex // guards the limiters: a decision and a change of rate are whole
}

// teamShare is what is kept for one team.
type teamShare struct {
	share   float64
	limiter *rate.Limiter
}

// NewAdmission makes an Admission of at most so many changes a second. Where the state
// service refuses changes they become fewer, but not less than least.
func NewAdmission(teams map[string]Limits, most, least float64) *Admission {
	burst := max(minBurst, int(most))
	a := &Admission{maxRate: rate.Limit(most), minRate: rate.Limit(least), total: rate.NewLimiter(rate.Limit(most), burst),
		teams: make(map[string]*teamShare, len(teams))}
	for name, part := range shares(teams) {
		a.teams[name] = &teamShare{part, rate.NewLimiter(rate.Limit(part*most), max(1, int(part*most*teamBurstSeconds)))}
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
	equal := equalShare
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
	turn, wait, ok := a.reserveTurn(team, patience)
	if !ok {
		return fmt.Errorf("team %q: %w", team, ErrOverloaded)
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

// reserveTurn finds a submission its turn. One at a time: a turn that is given back while
// others are being taken would be lost to all.
func (a *Admission) reserveTurn(team string, patience time.Duration) (turn *rate.Reservation, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	own := a.teams[team]
	mine := own != nil && own.limiter.AllowN(now, 1)
	turn = a.total.ReserveN(now, 1)
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

// ReportOverload notes that the state service had too much to do for a user's change: fewer
// submissions are let in from now on.
func (a *Admission) ReportOverload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setRate(max(a.minRate, rateShrink*a.total.Limit()))
}

// ReportSuccess notes that the state service took a user's change: more are let in again.
func (a *Admission) ReportSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.total.Limit(); now < a.maxRate {
		a.setRate(min(a.maxRate, now+rateGrowth*a.maxRate))
	}
}

// setRate changes how much is let in. The caller holds mu.
func (a *Admission) setRate(total rate.Limit) {
	a.total.SetLimit(total)
	for _, own := range a.teams {
		own.limiter.SetLimit(rate.Limit(own.share) * total)
	}
}
