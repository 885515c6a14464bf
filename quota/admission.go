package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrOverloaded means that a submission was refused because it would have had to wait longer than
// its caller allows.
var ErrOverloaded = errors.New("too many submissions")

const (
	// equalShare is the fraction of the rate that is divided equally among the teams, so that teams
	// without a guarantee get a share too.
	equalShare = 0.5
	// teamBurstSeconds is a team's burst size, in seconds of its own share of the rate.
	teamBurstSeconds = 0.25
	// minBurst is the minimum burst size of a controller, in submissions.
	minBurst = 4
	// rateIncrease is added to the rate for each change that the state service accepts, as a fraction
	// of the maximum rate.
	rateIncrease = 0.03
	// rateDecreaseFactor multiplies the rate each time the state service is overloaded.
	rateDecreaseFactor = 0.6
)

// Admission divides the rate at which one controller may send its users' changes to the state service
// among the teams. A team's own share is always available to it; unused shares are available to all
// teams, first come, first served. Controllers need no coordination: each divides its own rate in the
// same way.
type Admission struct {
	maxRate, minRate rate.Limit
	total            *rate.Limiter // of all admitted submissions
	teams            map[string]*teamShare

	mu sync.Mutex // guards the limiters and makes admission decisions and rate changes atomic
}

// teamShare is one team's own fraction of the rate, and the limiter that enforces it.
type teamShare struct {
	share   float64
	limiter *rate.Limiter
}

// NewAdmission returns an Admission for at most maxRate changes per second. While the state service is
// overloaded, the rate falls, but not below minRate.
func NewAdmission(teams map[string]Limits, maxRate, minRate float64) *Admission {
	burst := max(minBurst, int(maxRate))
	a := &Admission{maxRate: rate.Limit(maxRate), minRate: rate.Limit(minRate), total: rate.NewLimiter(rate.Limit(maxRate), burst),
		teams: make(map[string]*teamShare, len(teams))}
	for name, share := range shares(teams) {
		a.teams[name] = &teamShare{share, rate.NewLimiter(rate.Limit(share*maxRate), max(1, int(share*maxRate*teamBurstSeconds)))}
	}
	return a
}

// shares returns the teams' shares of the rate, which add up to one: a part is divided equally, the
// rest in proportion to the teams' guarantees of each resource.
func shares(teams map[string]Limits) map[string]float64 {
	var sum Amount
	for _, limits := range teams {
		sum = sum.Plus(limits.Guarantee)
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
	for name, limits := range teams {
		out[name] = equal / float64(len(teams))
		if resources > 0 {
			guaranteed := fraction(limits.Guarantee.Cores, sum.Cores) + fraction(limits.Guarantee.Accelerators, sum.Accelerators)
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

// Admit waits until a submission of the team is admitted: at once within the team's own share,
// otherwise as soon as the total rate allows. If that would take longer than maxWait, Admit returns
// ErrOverloaded at once.
func (a *Admission) Admit(ctx context.Context, team string, maxWait time.Duration) error {
	reservation, wait, ok := a.reserveToken(team, maxWait)
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
		reservation.Cancel()
		return fmt.Errorf("team %q: %w", team, ctx.Err())
	}
}

// reserveToken reserves a submission's token of the rate limiter. The lock serializes reservations:
// the limiter would lose a token that is cancelled while others are being reserved.
func (a *Admission) reserveToken(team string, maxWait time.Duration) (reservation *rate.Reservation, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	ownShare := a.teams[team]
	withinOwnShare := ownShare != nil && ownShare.limiter.AllowN(now, 1)
	reservation = a.total.ReserveN(now, 1)
	if withinOwnShare {
		return reservation, 0, true // counts toward the total rate, but does not wait for it
	}
	wait = reservation.DelayFrom(now)
	if !reservation.OK() || wait > maxWait {
		reservation.CancelAt(now)
		return nil, 0, false
	}
	return reservation, wait, true
}

// ReportOverload lowers the rate after the state service was too busy for a user's change.
func (a *Admission) ReportOverload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setRate(max(a.minRate, rateDecreaseFactor*a.total.Limit()))
}

// ReportSuccess raises the rate, up to its maximum, after the state service accepted a user's change.
func (a *Admission) ReportSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current := a.total.Limit(); current < a.maxRate {
		a.setRate(min(a.maxRate, current+rateIncrease*a.maxRate))
	}
}

// setRate sets the total rate and the teams' shares of it. The caller must hold mu.
func (a *Admission) setRate(total rate.Limit) {
	a.total.SetLimit(total)
	for _, team := range a.teams {
		team.limiter.SetLimit(rate.Limit(team.share) * total)
	}
}
