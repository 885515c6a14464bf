package cedardoor

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"cedardoor/config"
	"cedardoor/operator"
	"cedardoor/quota"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// teamNamed is the report of one team.
func teamNamed(t *testing.T, r quota.Report, name string) quota.TeamReport {
	t.Helper()
	for _, team := range r.Teams {
		if team.Team == name {
			return team
		}
	}
	t.Fatalf("no team %q in %+v", name, r)
	return quota.TeamReport{}
}

// The report follows a team's work from waiting at its limit to its proof of absence.
func TestTeamsReport(t *testing.T) {
	s := newTestCluster(t)
	n := s.node(func(f *config.Facts) { f.Teams[0].CPUsMax, f.Teams[0].CPUs = 4, 2 })
	l, w, _ := leadWithJob(t, n, s, 4)
	n.current.Store(l)
	look := func() quota.TeamReport {
		t.Helper()
		r, err := n.Teams(t.Context())
		if err != nil || !r.Fresh || r.Leader != n.cfg.Node {
			t.Fatalf("%+v, %v", r, err)
		}
		return teamNamed(t, r, "team")
	}
	want := quota.TeamReport{Team: "team", Tasks: quota.TasksReport{Running: 2},
		Cores:   quota.ResourceReport{Limit: 4, Guarantee: 2, InUse: 4, Running: 4},
		Waiting: quota.WaitingReport{Jobs: 1, Tasks: 2, Reasons: map[quota.Reason]int{quota.ReasonLimit: 2}}}
	if diff := cmp.Diff(want, look()); diff != "" {
		t.Errorf("at its limit: %s", diff)
	}
	w.Unreachable(true) // direct commands don't arrive
	if code, _, _ := s.ask(n, http.MethodPost, wire.PathJobs+"/j-1/abort", nil); code != http.StatusOK {
		t.Fatalf("abort: %d", code)
	}
	s.resync(l)
	want.Tasks, want.Waiting = quota.TasksReport{Stopping: 2}, quota.WaitingReport{}
	want.Cores.Running, want.Cores.Stopping = 0, 4
	if diff := cmp.Diff(want, look()); diff != "" {
		t.Errorf("cancelled, and not proved gone: %s", diff)
	}
	heartbeat(t, l, w) // is told to stop
	heartbeat(t, l, w) // shows that it has
	want.Tasks, want.Cores = quota.TasksReport{}, quota.ResourceReport{Limit: 4, Guarantee: 2}
	if diff := cmp.Diff(want, look()); diff != "" {
		t.Errorf("proved gone: %s", diff)
	}
}

// askTeams asks a controller of a world for the teams' use as an operator does.
func (w *simulation) askTeams(node int) (quota.Report, error) {
	p := w.runningProcess(fmt.Sprintf("node-%d", node+1))
	if p == nil {
		return quota.Report{}, errNoResponse
	}
	server := httptest.NewRecorder()
	p.operators().ServeHTTP(server, httptest.NewRequestWithContext(w.ctx, http.MethodGet, operator.PathTeams, nil))
	if server.Code != http.StatusOK {
		return quota.Report{}, fmt.Errorf("status %d", server.Code)
	}
	return p.Teams(w.ctx)
}

// Every controller tells what the leader's ledger holds; when nobody leads, what it saw
// last, and how old that is. One that never heard a leader says so.
func TestTeamsFromEveryController(t *testing.T) {
	s := schedule{seed: 1, duration: seconds(60), firstLeader: 1, limits: map[string]float64{}}
	s.submissions = []submission{newSubmission(1, 2, 0, func(sp *wire.Spec) { asService(2)(sp); sp.Team = "tight" })}
	s.faults = []fault{
		{kind: stateRefusesAll, at: seconds(30), duration: seconds(25)},
		{kind: controllerKilled, at: seconds(31), duration: seconds(20), controller: 3},
	}
	s.setup = func(w *simulation) {
		w.runAt(25, func() {
			for node := range 3 {
				r, err := w.askTeams(node)
				if err != nil || !r.Fresh || r.Leader != "node-1" {
					t.Errorf("node %d: %+v, %v", node+1, r, err)
					continue
				}
				if got := teamNamed(t, r, "tight"); got.Cores.Running != 2 || got.Cores.Limit != tightLimit {
					t.Errorf("node %d shows %+v", node+1, got)
				}
			}
		})
		w.runAt(50, func() {
			r, err := w.askTeams(1)
			if err != nil || r.Fresh || r.AgeS < 24 || r.Leader != "node-1" {
				t.Errorf("while nobody leads: %+v, %v", r, err)
			}
			if got := teamNamed(t, r, "tight"); got.Cores.Running != 2 {
				t.Errorf("while nobody leads: %+v", got)
			}
		})
		w.runAt(52, func() {
			if r, err := w.askTeams(0); err == nil {
				t.Errorf("a controller that has just started, while nobody leads: %+v", r)
			}
		})
		w.runAt(100, func() {
			for node := range 3 {
				if r, err := w.askTeams(node); err != nil || !r.Fresh || r.AgeS != 0 || r.Node != fmt.Sprintf("node-%d", node+1) {
					t.Errorf("node %d when all is well again: %+v, %v", node+1, r, err)
				}
			}
		})
	}
	playSchedule(t, s, nil)
}

// A thousand teams take several messages between controllers.
func TestTeamsComeInPages(t *testing.T) {
	s := newTestCluster(t)
	many := func(f *config.Facts) {
		for i := range 1000 {
			f.Teams = append(f.Teams, config.Team{Name: fmt.Sprintf("team-%04d", i), CPUsMax: float64(i + 1)})
		}
	}
	a, b := s.node(many), s.node(many)
	s.connect(a, b)
	link := a.relayLinks[b.cfg.Node]
	if teams, err := readTeams(t.Context(), link); !errors.Is(err, errNoLeader) {
		t.Fatalf("of one that does not lead: %d teams, %v", len(teams), err)
	}
	l, _ := s.elect(b)
	b.current.Store(l)
	teams, err := readTeams(t.Context(), link)
	if err != nil || len(teams) != 1001 {
		t.Fatalf("%d teams, %v", len(teams), err)
	}
	for i, team := range teams[1:] {
		if team.Team <= teams[i].Team {
			t.Fatalf("%s comes after %s", team.Team, teams[i].Team)
		}
	}
}
