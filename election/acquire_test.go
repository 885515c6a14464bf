package election

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"

	"github.com/jonboulle/clockwork"
)

// newCandidate returns an elector of a node that shares a state service with others and does not
// campaign by itself.
func newCandidate(t *testing.T, node string, state *standin.State, fake *clockwork.FakeClock) *Elector {
	t.Helper()
	server := httptest.NewServer(state.Handler(node))
	t.Cleanup(server.Close)
	client := store.New(strings.TrimPrefix(server.URL, "http://"), config.State{RPS: 1000, WriteRPS: 1000, TxnOps: 24, ValueKB: 8}, 1)
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	attest := func(context.Context) bool { return false }
	return New(node, client, clock.New(fake), operator, attest, slog.New(slog.DiscardHandler))
}

// Guards against a vacancy: a node that was granted a lease and can't read the fencing token leaves the
// leader key free, so another node, or the same one a moment later, takes it at once.
func TestUnreadableTokenLeavesLeadershipFree(t *testing.T) {
	for _, successor := range []string{"a", "b"} {
		fake := clockwork.NewFakeClock()
		state := standin.NewState(fake)
		candidates := map[string]*Elector{"a": newCandidate(t, "a", state, fake), "b": newCandidate(t, "b", state, fake)}
		state.BeforeRequest(func(path string) {
			if strings.HasSuffix(path, store.KeyToken) {
				state.Refuse("a", true)
			}
		})
		if _, err := candidates["a"].acquire(t.Context()); err == nil {
			t.Fatal("elected without having read the token")
		}
		state.BeforeRequest(nil)
		state.Refuse("a", false)
		if _, err := candidates[successor].campaign(t.Context()); err != nil {
			t.Errorf("%s is not elected right after the failed attempt of a: %v", successor, err)
		}
	}
}
