package cedardoor

import (
	"context"

	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/peer"
	"cedardoor/quota"
)

// teamsPerPage bounds one message between controllers: a team takes some 300 bytes.
const teamsPerPage = 100

// newJobAge is how long a job counts as new: a plan has hardly seen it.
const newJobAge = 2 * clock.Second

// leaderTeams reads the leader's ledger, here or at the controller that leads.
func (s *Service) leaderTeams(ctx context.Context) (quota.Report, error) {
	leader := s.elector.Leader()
	r := quota.Report{Leader: leader, Fresh: true}
	if l := s.current.Load(); l != nil {
		teams, ok := l.teamReports()
		if !ok {
			return r, errNoLeader
		}
		r.Leader, r.Teams = s.cfg.Node, teams
		return r, nil
	}
	link := s.relayLinks[leader]
	if link == nil {
		return r, errNoLeader
	}
	teams, err := readTeams(ctx, link)
	r.Teams = teams
	return r, err
}

// readTeams reads the ledger of a controller that leads, page by page.
func readTeams(ctx context.Context, link *peer.Link) (teams []quota.TeamReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for after, more := "", true; more; {
		response, err := link.Call(ctx, peer.Request{Teams: peer.TeamsRequest{Requested: true, After: after}})
		if err != nil {
			return nil, err
		}
		if len(response.TeamsPage) == 0 {
			return nil, errNoLeader
		}
		page, err := peer.DecodeTeamsPage(response.TeamsPage)
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
	l := s.current.Load()
	if l == nil {
		return nil
	}
	teams, ok := l.teamReports()
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

// teamReports tells what each team uses and what of its work waits; false where this
// controller does not know, because its lease as leader or its records are not there.
func (l *leader) teamReports() ([]quota.TeamReport, bool) {
	if _, may := l.elector.HoldsLease(); !may {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil, false
	}
	waiting := l.waitingByTeam()
	names := l.quota.Teams()
	out := make([]quota.TeamReport, 0, len(names))
	for _, name := range names {
		r := l.quota.Usage(name).Report()
		if w := waiting[name]; w != nil {
			r.Waiting = *w
		}
		out = append(out, r)
	}
	return out, true
}

// waitingByTeam sums up the tasks that wait, and why. The caller holds mu.
func (l *leader) waitingByTeam() map[string]*quota.WaitingReport {
	now := l.clock.Now()
	out := map[string]*quota.WaitingReport{}
	for job := range l.jobs.Waiting() {
		ready, later := job.CountWaiting(now)
		if job.Cancelled || ready+later == 0 {
			continue
		}
		w := out[job.Spec.Team]
		if w == nil {
			w = &quota.WaitingReport{}
			out[job.Spec.Team] = w
		}
		w.Jobs++
		if job.Plan.Entitled {
			w.WithinGuarantee += ready + later
		}
		w.Add(l.whyWaits(job, now), ready)
		w.Add(quota.ReasonRetry, later)
	}
	return out
}

// whyWaits tells why those of a job's tasks wait that are not backing off. The caller holds mu.
func (l *leader) whyWaits(job *jobs.Job, now clock.Micros) quota.Reason {
	switch {
	case job.CancellationPending:
		return quota.ReasonCancelling
	case !l.quota.Fits(job.Spec.Team, job.TaskAmount()):
		return quota.ReasonLimit
	case job.Failures.OnTrial():
		return quota.ReasonRetry
	case now-job.SeenAt < newJobAge:
		return quota.ReasonNew
	}
	return quota.ReasonRoom
}
