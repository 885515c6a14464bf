package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrOverloaded means that a submission is not admitted now: it would have to wait longer than its
// sender may be kept waiting.
var ErrOverloaded = errors.New("too many submissions")

const (
	// equalShare is the share of the rate that is divided equally among the teams, so that teams
	// without a guarantee have a share, too.
	equalShare = 0.5
	// teamBurstSeconds is how many seconds' worth of its own share a team may use at once.
	teamBurstSeconds = 0.25
	// minBurst is the least number of submissions that a controller admits at once.
	minBurst = 4
	// rateGrowth is what each change that the state service takes adds to the rate, as a share of
	// the highest rate.
	rateGrowth = 0.03
	// rateShrink is the factor by which the rate falls when the state service is overloaded.
	rateShrink = 0.6
)

// Admission divides the rate of changes that one controller may request of the state service for its
// users among the teams. A team's own share is always available to it; what is not used of it is
// available to all teams, first come first served. Controllers need not coordinate: each divides its
// own rate in the same way.
type Admission struct {
	maxRate, minRate rate.Limit
	total            *rate.Limiter // of all submissions that are admitted
	teams            map[string]*teamShare

	mu sync.Mutex // guards the limiters: decisions and changes of the rate are atomic
}

// teamShare is one team's own share of the rate.
type teamShare struct {
	share   float64
	limiter *rate.Limiter
}

// NewAdmission makes an Admission of at most maxRate changes per second. While the state service is
// overloaded it admits fewer, down to minRate.
func NewAdmission(teams map[string]Limits, maxRate, minRate float64) *Admission {
	burst := max(minBurst, int(maxRate))
	a := &Admission{maxRate: rate.Limit(maxRate), minRate: rate.Limit(minRate), total: rate.NewLimiter(rate.Limit(maxRate), burst),
		teams: make(map[string]*teamShare, len(teams))}
	for name, share := range shares(teams) {
		a.teams[name] = &teamShare{share, rate.NewLimiter(rate.Limit(share*maxRate), max(1, int(share*maxRate*teamBurstSeconds)))}
	}
	return a
}

// shares are the teams' shares of the rate, which add up to one: a part is divided equally, the rest
// in proportion to their guarantees of each resource.
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

// Admit admits a submission of a team: at once by the team's own share, otherwise when its turn
// comes. If that takes longer than maxWait it returns ErrOverloaded at once.
func (a *Admission) Admit(ctx context.Context, team string, maxWait time.Duration) error {
	turn, wait, ok := a.reserveTurn(team, maxWait)
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

// reserveTurn reserves a submission's turn. The lock makes it one at a time: the limiter would lose
// a turn that is cancelled while others are being reserved.
func (a *Admission) reserveTurn(team string, maxWait time.Duration) (turn *rate.Reservation, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	own := a.teams[team]
	byOwnShare := own != nil && own.limiter.AllowN(now, 1)
	turn = a.total.ReserveN(now, 1)
	if byOwnShare {
		return turn, 0, true // it counts for the total, but does not wait for it
	}
	wait = turn.DelayFrom(now)
	if !turn.OK() || wait > maxWait {
		turn.CancelAt(now)
		return nil, 0, false
	}
	return turn, wait, true
}

// ReportOverload lowers the rate: the state service was too busy for a user's change.
func (a *Admission) ReportOverload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setRate(max(a.minRate, rateShrink*a.total.Limit()))
}

// ReportSuccess raises the rate, up to its maximum: the state service took a user's change.
func (a *Admission) ReportSuccess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current := a.total.Limit(); current < a.maxRate {
		a.setRate(min(a.maxRate, current+rateGrowth*a.maxRate))
	}
}

// setRate sets the rate, and with it the teams' own. The caller holds mu.
func (a *Admission) setRate(total rate.Limit) {
	a.total.SetLimit(total)
	for _, own := range a.teams {
		own.limiter.SetLimit(rate.Limit(own.share) * total)
	}
}
