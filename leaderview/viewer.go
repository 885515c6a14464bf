// Package leaderview serves the leader's reports to operators on any controller: the teams' usage and
// the progress of the recovery. If no leader responds, it serves the last reports that it read.
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
	// refreshInterval is the interval at which a controller reads the leader's reports, so that it
	// has recent ones to serve while there is no leader.
	refreshInterval = 5 * clock.Second
	// reportTimeout limits how long reading a report, with all its pages, from another controller
	// may take.
	reportTimeout = 1 * time.Second
	// teamsPerPage limits the size of a message between controllers: a team takes about 300 bytes.
	teamsPerPage = 100
)

// Leader provides the reports of a controller that leads.
type Leader interface {
	// TeamReports returns each team's usage and waiting work. known is false if the leader does not
	// hold its lease or has not loaded the records.
	TeamReports() (teams []quota.TeamReport, known bool)
	// RecoveryReport returns the progress of the recovery. known is false if the leader does not hold
	// its lease.
	RecoveryReport() (report recovery.Report, known bool)
}

// Settings configures a Viewer.
type Settings struct {
	Node        string
	Clock       *clock.Clock
	Log         *slog.Logger
	LocalLeader func() (Leader, bool)        // returns the leader, if this controller leads
	LeaderName  func() string                // returns the name of the leading controller; empty if unknown
	Link        func(node string) *peer.Link // returns the link to another controller; nil if there is none
}

// Viewer reads the leader's reports, from this controller if it leads, else from the one that does.
type Viewer struct {
	Settings

	teams    cachedReport[quota.Report]
	recovery cachedReport[recovery.Report]
}

// New returns a Viewer with the given settings.
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

// Teams returns the teams' usage from the leader's ledger or, if no leader responds, as last read by
// this controller.
func (v *Viewer) Teams(ctx context.Context) (quota.Report, error) { return v.teams.get(ctx, v) }

// Recovery returns the progress of the leader's recovery or, if no leader responds, as last read by
// this controller.
func (v *Viewer) Recovery(ctx context.Context) (recovery.Report, error) {
	return v.recovery.get(ctx, v)
}

// Routes registers the handlers of the reports on a router.
func (v *Viewer) Routes(router chi.Router) {
	router.Get(operator.PathTeams, v.teams.handler(v))
	router.Get(operator.PathRecovery, v.recovery.handler(v))
}

// Run refreshes the cached reports at an interval until ctx is done.
func (v *Viewer) Run(ctx context.Context) {
	for {
		_, teamsErr := v.teams.refresh(ctx, v)
		_, recoveryErr := v.recovery.refresh(ctx, v)
		if err := errors.Join(teamsErr, recoveryErr); err != nil && ctx.Err() == nil {
			v.Log.Debug("failed to read the leader's reports", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(refreshInterval.Duration()):
		}
	}
}

// readTeams reads the teams' usage from the leader's ledger.
func (v *Viewer) readTeams(ctx context.Context) (r quota.Report, err error) {
	name := v.LeaderName()
	r = quota.Report{Leader: name, Fresh: true}
	if leader, leads := v.LocalLeader(); leads {
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

// ReadTeams reads the teams' usage from another controller, page by page. It returns ErrNoLeader if
// that controller does not answer as leader.
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

// readRecovery reads the progress of the recovery from the leader.
func (v *Viewer) readRecovery(ctx context.Context) (r recovery.Report, err error) {
	name := v.LeaderName()
	if leader, leads := v.LocalLeader(); leads {
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
		return r, fmt.Errorf("decode the recovery report of %s: %w", name, err)
	}
	r.Leader = name
	return r, nil
}

// TeamsPage returns, for another controller, an encoded page of the teams whose names follow after.
// It returns nil if this controller cannot answer as leader.
func (v *Viewer) TeamsPage(after string) []byte {
	leader, leads := v.LocalLeader()
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
		v.Log.Error("failed to encode the teams for another controller", "error", err)
		return nil
	}
	return raw
}

// EncodedReport returns, for another controller, a report as JSON. It returns nil if this controller
// cannot answer as leader or does not provide this kind of report.
func (v *Viewer) EncodedReport(kind peer.ReportKind) []byte {
	leader, leads := v.LocalLeader()
	if !leads || kind != peer.ReportRecovery {
		return nil
	}
	report, known := leader.RecoveryReport()
	if !known {
		return nil
	}
	raw, err := json.Marshal(report)
	if err != nil {
		v.Log.Error("failed to encode a report for another controller", "error", err)
		return nil
	}
	return raw
}
