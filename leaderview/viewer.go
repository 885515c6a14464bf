// Package leaderview shows operators, on any controller, what only the leader knows: what teams use
// and how far a recovery is. Where no leader answers it shows what it saw last.
package leaderview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cedardoor/clock"
	"cedardoor/operator"
	"cedardoor/peer"
	"cedardoor/quota"
	"cedardoor/recovery"

	"github.com/go-chi/chi/v5"
)

const (
	// refreshInterval is how far apart a controller looks at the leader's reports, so that it can
	// tell what they were when nobody leads.
	refreshInterval = 5 * clock.Second
	// reportTimeout is how long one answer of the leader may take.
	reportTimeout = 1 * time.Second
	// teamsPerPage bounds one message between controllers: a team takes some 300 bytes.
	teamsPerPage = 100
)

// Leader makes the reports.
type Leader interface {
	// TeamReports tells what each team uses and what of its work waits; false where it does not know.
	TeamReports() (teams []quota.TeamReport, known bool)
	// RecoveryReport tells how far the recovery is; false where it does not know.
	RecoveryReport() (report recovery.Report, known bool)
}

// Settings are what a Viewer is made with.
type Settings struct {
	Node       string
	Clock      *clock.Clock
	Log        *slog.Logger
	Here       func() (Leader, bool)        // the leader, if this controller leads
	LeaderName func() string                // names the controller that leads
	Link       func(node string) *peer.Link // to another controller; nil when there is none
}

// Viewer reads the leader's reports, here or at the controller that leads.
type Viewer struct {
	Settings

	teams    report[quota.Report]
	recovery report[recovery.Report]
}

// New makes a Viewer.
func New(settings Settings) *Viewer {
	v := &Viewer{Settings: settings}
	v.teams.read = v.readTeams
	v.teams.annotate = func(r *quota.Report, node string, fresh bool, ageS float64) {
		r.Node, r.Fresh, r.AgeS = node, fresh, ageS
	}
	v.recovery.read = v.readRecovery
	v.recovery.annotate = func(r *recovery.Report, node string, fresh bool, ageS float64) {
		r.Node, r.Fresh, r.AgeS = node, fresh, ageS
	}
	return v
}

// Teams reports what teams use: as the leader's ledger has it now, or, where no leader answers, as
// this controller saw it last.
func (v *Viewer) Teams(ctx context.Context) (quota.Report, error) { return v.teams.get(ctx, v) }

// Recovery reports how far the leader has taken over, or, where no leader answers, how far it was
// when this controller saw it last.
func (v *Viewer) Recovery(ctx context.Context) (recovery.Report, error) {
	return v.recovery.get(ctx, v)
}

// Routes adds the reports' paths to a router.
func (v *Viewer) Routes(router chi.Router) {
	router.Get(operator.PathTeams, v.teams.handler(v))
	router.Get(operator.PathRecovery, v.recovery.handler(v))
}

// Run keeps the last reports recent until ctx ends.
func (v *Viewer) Run(ctx context.Context) {
	for {
		_, teamsErr := v.teams.refresh(ctx, v)
		_, recoveryErr := v.recovery.refresh(ctx, v)
		if err := errors.Join(teamsErr, recoveryErr); err != nil && ctx.Err() == nil {
			v.Log.Debug("the leader's reports can't be read", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(refreshInterval.Duration()):
		}
	}
}

// readTeams reads the leader's ledger.
func (v *Viewer) readTeams(ctx context.Context) (r quota.Report, err error) {
	name := v.LeaderName()
	r = quota.Report{Leader: name, Fresh: true}
	if leader, leads := v.Here(); leads {
		teams, known := leader.TeamReports()
		if !known {
			return r, ErrNoLeader
		}
		r.Leader, r.Teams = v.Node, teams
		return r, nil
	}
	link := v.Link(name)
	if link == nil {
		return r, ErrNoLeader
	}
	r.Teams, err = ReadTeams(ctx, link)
	return r, err
}

// ReadTeams reads the ledger of a controller that leads, page by page.
func ReadTeams(ctx context.Context, link *peer.Link) (teams []quota.TeamReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for after, more := "", true; more; {
		response, err := link.Call(ctx, peer.Request{Teams: peer.TeamsRequest{Requested: true, After: after}})
		if err != nil {
			return nil, err
		}
		if len(response.TeamsPage) == 0 {
			return nil, ErrNoLeader
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

// readRecovery reads how far the leader has taken over.
func (v *Viewer) readRecovery(ctx context.Context) (r recovery.Report, err error) {
	name := v.LeaderName()
	if leader, leads := v.Here(); leads {
		r, known := leader.RecoveryReport()
		if !known {
			return r, ErrNoLeader
		}
		r.Leader = v.Node
		return r, nil
	}
	link := v.Link(name)
	if link == nil {
		return r, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := link.Call(ctx, peer.Request{Report: peer.ReportRecovery})
	if err != nil {
		return r, err
	}
	if len(response.Report) == 0 {
		return r, ErrNoLeader
	}
	if err := json.Unmarshal(response.Report, &r); err != nil {
		return r, fmt.Errorf("recovery of %s: %w", name, err)
	}
	r.Leader = name
	return r, nil
}

// TeamsPage answers another controller that serves operators with the teams after a name; with
// nothing, unless this one leads.
func (v *Viewer) TeamsPage(after string) []byte {
	leader, leads := v.Here()
	if !leads {
		return nil
	}
	teams, known := leader.TeamReports()
	if !known {
		return nil
	}
	var page peer.TeamsPage
	for _, team := range teams {
		if team.Team <= after {
			continue
		}
		if len(page.Teams) == teamsPerPage {
			page.More = true
			break
		}
		page.Teams = append(page.Teams, team)
	}
	raw, err := page.Encode()
	if err != nil {
		v.Log.Error("teams for another controller", "error", err)
		return nil
	}
	return raw
}

// EncodedReport answers another controller that serves operators with a report; with nothing, unless
// this one leads.
func (v *Viewer) EncodedReport(kind peer.ReportKind) []byte {
	leader, leads := v.Here()
	if !leads || kind != peer.ReportRecovery {
		return nil
	}
	report, known := leader.RecoveryReport()
	if !known {
		return nil
	}
	raw, err := json.Marshal(report)
	if err != nil {
		v.Log.Error("report for another controller", "error", err)
		return nil
	}
	return raw
}
