package cedardoor

import (
	"net/http"
	"testing"
	"time"

	"cedardoor/wire"
)

// userQueryTimeout is how long users wait for the answer to a query.
const userQueryTimeout = 2 * time.Second

// Guards against answers that come when users have given up: while the state service takes requests and
// answers none, each query is refused in time, whether this controller or another one tries.
func TestQueryIsAnsweredWhileUsersWait(t *testing.T) {
	const queries = 8
	var took []time.Duration
	schedule := faultSchedule{seed: 1, duration: 40 * time.Second, submissions: []scheduledSubmission{newSubmission(1, 1, 60, func(*wire.Spec) {})}}
	schedule.setup = func(sim *simulation) {
		sim.wg.Go(func() {
			time.Sleep(20 * time.Second)
			resume := sim.state.Stall()
			defer resume()
			for i := range queries {
				began := time.Now()
				code, _ := sim.request(i%2, http.MethodGet, jobPath("j-1"), "j-1", nil)
				if code != http.StatusServiceUnavailable {
					t.Errorf("query %d: status %d while the state service answers nothing", i+1, code)
				}
				took = append(took, time.Since(began))
			}
		})
	}
	runSchedule(t, schedule, nil)
	for i, duration := range took {
		if duration >= userQueryTimeout {
			t.Errorf("query %d was answered after %v, users wait %v", i+1, duration, userQueryTimeout)
		}
	}
	if len(took) != queries {
		t.Errorf("%d queries were sent, want %d", len(took), queries)
	}
}
