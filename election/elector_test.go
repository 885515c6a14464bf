package election

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"

	"github.com/jonboulle/clockwork"
)

// harness runs an Elector against a stand-in of the state service, on a fake clock.
type harness struct {
	clock        *clockwork.FakeClock
	state        *standin.State
	elector      *Elector
	attested     atomic.Bool // what attestations come to
	slow         atomic.Bool // attestations take longer than they are good for
	attestations atomic.Int32
	elected      chan Term
	ended        chan struct{}
}

// start runs an Elector until the test ends, and returns when it has been elected.
func start(t *testing.T) *harness {
	t.Helper()
	fake := clockwork.NewFakeClock()
	h := &harness{clock: fake, state: standin.NewState(fake), elected: make(chan Term, 4), ended: make(chan struct{}, 4)}
	server := httptest.NewServer(h.state.Handler("a"))
	t.Cleanup(server.Close)
	client := store.New(strings.TrimPrefix(server.URL, "http://"), config.State{RPS: 1000, WriteRPS: 1000, TxnOps: 24, ValueKB: 8}, 1)
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	h.elector = New("a", client, clock.New(fake), operator, func(context.Context) bool {
		h.attestations.Add(1)
		if h.slow.Load() {
			fake.Advance(2 * AttestationTTL.Duration())
		}
		return h.attested.Load()
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.elector.Run(ctx, func(ctx context.Context, term Term) {
			h.elected <- term
			<-ctx.Done()
			h.ended <- struct{}{}
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	<-h.elected
	return h
}

// advance moves the clock while the elector waits on it.
func (h *harness) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		if err := h.clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		h.clock.Advance(100 * time.Millisecond)
	}
	if err := h.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
}

func TestLeaderRefusedAloneStopsAnswering(t *testing.T) {
	h := start(t)
	h.advance(t, 10*time.Second)
	if _, ok := h.elector.HoldsLease(); !ok {
		t.Fatal("lost a lease that was renewed")
	}
	h.state.Refuse("a", true)
	h.advance(t, 6*time.Second)
	if _, ok := h.elector.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats after its lease may have lapsed, though others are served")
	}
	if h.attestations.Load() == 0 {
		t.Error("no attestation was requested")
	}
}

func TestLeaderAnswersInAttestedOutage(t *testing.T) {
	h := start(t)
	h.attested.Store(true)
	h.state.Refuse("", true)
	h.advance(t, 30*time.Second)
	if _, ok := h.elector.MayAnswerHeartbeats(); !ok {
		t.Error("does not answer heartbeats though all are refused")
	}
	if _, ok := h.elector.HoldsLease(); ok {
		t.Error("may give new commands without a lease")
	}
	// One of the others is served again: nobody knows what it may do.
	h.attested.Store(false)
	h.advance(t, 2*time.Second)
	if _, ok := h.elector.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats after another was no longer refused")
	}
	h.state.Refuse("", false)
	h.advance(t, time.Second)
	if _, ok := h.elector.HoldsLease(); !ok {
		t.Error("may not give new commands after the outage, though its lease was renewed")
	}
}

func TestRaiseTokenWithLostResponse(t *testing.T) {
	h := start(t)
	before, _ := h.elector.HoldsLease()
	// The response is lost, but the write was done: it is recognized, not repeated.
	h.state.LoseResponses(1)
	got, err := h.elector.RaiseToken(t.Context())
	if err != nil || got != before+1 {
		t.Fatalf("raised to %d, %v; want %d", got, err, before+1)
	}
	var rec store.TokenRecord
	if !h.state.Value(store.KeyToken, &rec) || rec.Token != got {
		t.Errorf("recorded %d, want %d", rec.Token, got)
	}
}

// An attestation counts from when it was requested: one that takes too long has
// expired when it arrives.
func TestLateAttestationDoesNotCount(t *testing.T) {
	h := start(t)
	h.slow.Store(true)
	h.attested.Store(true)
	h.state.Refuse("", true)
	h.advance(t, 6*time.Second)
	if _, ok := h.elector.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats on an attestation that was requested longer ago than it holds")
	}
}

// A node that has resigned leaves leadership to others for a while. Where nobody takes
// it, the node does so itself.
func TestCooldownEndsWhereNobodyElseLeads(t *testing.T) {
	h := start(t)
	h.elector.Resign()
	<-h.ended
	began := h.clock.Now()
	for {
		select {
		case <-h.elected:
			waited := h.clock.Now().Sub(began)
			if waited < maxVacancy.Duration() || waited >= resignCooldown.Duration() {
				t.Errorf("leads again after %v", waited)
			}
			return
		default:
		}
		if h.clock.Now().Sub(began) > resignCooldown.Duration() {
			t.Fatal("nobody leads, and the node still waits")
		}
		h.advance(t, 100*time.Millisecond)
	}
}

// A node that has resigned keeps its cooldown while another leads, and for a moment after that.
func TestCooldownLastsWhileAnotherLeads(t *testing.T) {
	h := start(t)
	h.elector.Resign()
	h.advance(t, 2*time.Second)
	h.elector.observeLeader("b", 0) // as when another's key is read
	h.advance(t, 2*time.Second)
	select {
	case <-h.elected:
		t.Error("leads again a moment after another did")
	default:
	}
}
