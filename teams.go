package cedardoor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"cedardoor/clock"
	"cedardoor/operator"
	"cedardoor/peer"
	"cedardoor/quota"

	"github.com/go-chi/chi/v5"
)

// How often a controller that serves operators looks at the leader's ledger, so that it
// can tell what it was when nobody leads, and how long one answer of the leader may take.
const (
	teamsRefresh = 5 * clock.Second
	teamsTimeout = time.Second
)

// teamsPerPage bounds one message between controllers: a team takes some 300 bytes.
const teamsPerPage = 100

// newFor is how long a job counts as new: a plan has hardly seen it.
const newFor = 2 * clock.Second

// errNoView means that this controller has never seen a leader's ledger.
var errNoView = errors.New("no leader has been heard since this controller started")

// teamsView is the last ledger that this controller has seen.
type teamsView struct {
	mu     sync.Mutex // guards the fields below
	report quota.Report
	at     clock.Micros
	seen   bool
}

func (v *teamsView) keep(r quota.Report, now clock.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report, v.at, v.seen = r, now, true
}

// last gives the last view with its age.
func (v *teamsView) last(now clock.Micros) (r quota.Report, seen bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r = v.report
	r.Fresh, r.AgeS = false, (now - v.at).Seconds()
	return r, v.seen
}

// Teams reports what teams use: as the leader's ledger has it now, or, where no leader
// answers, as this controller saw it last.
func (s *Service) Teams(ctx context.Context) (quota.Report, error) {
	r, err := s.leadersTeams(ctx)
	if err == nil {
		s.teams.keep(r, s.ck.Now())
	} else {
		s.log.Debug("the leader's ledger can't be read", "error", err)
		var seen bool
		if r, seen = s.teams.last(s.ck.Now()); !seen {
			return quota.Report{}, errNoView
		}
	}
	r.Node = s.cfg.Node
	return r, nil
}

// errNoLeader means that no controller is known to lead, or the one that is does not answer as leader.
var errNoLeader = errors.New("nobody leads")

// leadersTeams reads the leader's ledger, here or at the controller that leads.
func (s *Service) leadersTeams(ctx context.Context) (quota.Report, error) {
	leader := s.el.Leader()
	r := quota.Report{Leader: leader, Fresh: true}
	if g := s.term.Load(); g != nil {
		teams, ok := g.teamReports()
		if !ok {
			return r, errNoLeader
		}
		r.Leader, r.Teams = s.cfg.Node, teams
		return r, nil
	}
	link := s.relays[leader]
	if link == nil {
		return r, errNoLeader
	}
	teams, err := teamsOf(ctx, link)
	r.Teams = teams
	return r, err
}

// teamsOf reads the ledger of a controller that leads, page by page.
func teamsOf(ctx context.Context, link *peer.Link) (teams []quota.TeamReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, teamsTimeout)
	defer cancel()
	for after, more := "", true; more; {
		reply, err := link.Ask(ctx, peer.Ask{Teams: true, TeamsAfter: after})
		if err != nil {
			return nil, err
		}
		if len(reply.Teams) == 0 {
			return nil, errNoLeader
		}
		page, err := peer.DecodeTeamsPage(reply.Teams)
		if err != nil {
			return nil, err
		}
		teams = append(teams, page.Teams...)
		if more = page.More && len(page.Teams) > 0; more {
			after = page.Teams[len(page.Teams)-1].Team
		}
	}
	return teams, nil
}

// teamsPage answers another controller that serves operators: with nothing, unless this one leads.
func (s *Service) teamsPage(after string) []byte {
	g := s.term.Load()
	if g == nil {
		return nil
	}
	teams, ok := g.teamReports()
	if !ok {
		return nil
	}
	var page peer.TeamsPage
	for _, t := range teams {
		if t.Team <= after {
			continue
		}
		if len(page.Teams) == teamsPerPage {
			page.More = true
			break
		}
		page.Teams = append(page.Teams, t)
	}
	raw, err := page.Encode()
	if err != nil {
		s.log.Error("teams for another controller", "error", err)
		return nil
	}
	return raw
}

// refreshTeams keeps the last view recent until ctx ends.
func (s *Service) refreshTeams(ctx context.Context) {
	for {
		if r, err := s.leadersTeams(ctx); err == nil {
			s.teams.keep(r, s.ck.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-s.ck.After(teamsRefresh.Duration()):
		}
	}
}

// teamReports tells what each team uses and what of its work waits; false where this
// controller does not know, because its lease as leader or its records are not there.
func (g *term) teamReports() ([]quota.TeamReport, bool) {
	if _, may := g.el.MayOrder(); !may {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.loaded {
		return nil, false
	}
	waiting := g.waitingByTeam()
	names := g.quota.Teams()
	out := make([]quota.TeamReport, 0, len(names))
	for _, name := range names {
		r := g.quota.Usage(name).Report()
		if w := waiting[name]; w != nil {
			r.Waiting = *w
		}
		out = append(out, r)
	}
	return out, true
}

// waitingByTeam sums up the tasks that wait, and why. The caller holds mu.
func (g *term) waitingByTeam() map[string]*quota.WaitingReport {
	now := g.ck.Now()
	out := map[string]*quota.WaitingReport{}
	for j := range g.queue {
		ready, later := j.waitingTasks(now)
		if j.cancelled || ready+later == 0 {
			continue
		}
		w := out[j.spec.Owner]
		if w == nil {
			w = &quota.WaitingReport{}
			out[j.spec.Owner] = w
		}
		w.Jobs++
		if j.pj.Entitled {
			w.WithinGuarantee += ready + later
		}
		w.Add(g.whyWaits(j, now), ready)
		w.Add(quota.ReasonRetry, later)
	}
	return out
}

// waitingTasks counts a job's tasks that wait, apart from those that are backing off.
func (j *job) waitingTasks(now clock.Micros) (ready, later int) {
	for _, i := range j.waiting {
		switch t := &j.tasks[i]; {
		case t.state != taskWaiting:
		case t.notBefore > now:
			later++
		default:
			ready++
		}
	}
	return ready, later
}

// whyWaits tells why those of a job's tasks wait that are not backing off. The caller holds mu.
func (g *term) whyWaits(j *job, now clock.Micros) quota.Reason {
	switch {
	case j.calledOff:
		return quota.ReasonCancelling
	case !g.mayGrow(j):
		return quota.ReasonLimit
	case j.failures.doubtful():
		return quota.ReasonRetry
	case now-j.seen < newFor:
		return quota.ReasonNew
	}
	return quota.ReasonRoom
}

// operators serves what operators ask for: figures and the teams' use.
func (s *Service) operators() http.Handler {
	r := chi.NewRouter()
	r.Mount("/", s.met.Handler())
	r.Get(operator.PathTeams, func(w http.ResponseWriter, req *http.Request) {
		report, err := s.Teams(req.Context())
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(operator.Failure{Error: err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	})
	return r
}
