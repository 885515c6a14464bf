package lead

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

type bench struct {
	clk   *clockwork.FakeClock
	state *standin.State
	el    *Elector
	all   atomic.Bool
	slow  atomic.Bool // attestations take longer than they are good for
	asked atomic.Int32
	term  chan Term
	ended chan struct{}
}

func start(t *testing.T) *bench {
	clk := clockwork.NewFakeClock()
	b := &bench{clk: clk, state: standin.NewState(clk), term: make(chan Term, 4), ended: make(chan struct{}, 4)}
	srv := httptest.NewServer(b.state.Handler("a"))
	t.Cleanup(srv.Close)
	client := store.New(strings.TrimPrefix(srv.URL, "http://"), config.State{RPS: 1000, WriteRPS: 1000, TxnOps: 24, ValueKB: 8}, 1)
	op, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	b.el = New("a", client, clock.New(clk), op, func(context.Context) bool {
		b.asked.Add(1)
		if b.slow.Load() {
			clk.Advance(2 * AttestationTTL.Duration())
		}
		return b.all.Load()
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.el.Run(ctx, func(ctx context.Context, r Term) {
			b.term <- r
			<-ctx.Done()
			b.ended <- struct{}{}
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	<-b.term
	return b
}

// step moves the clock while the elector waits on it.
func (b *bench) step(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		if err := b.clk.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		b.clk.Advance(100 * time.Millisecond)
	}
	if err := b.clk.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
}

func TestRefusedAloneStepsAside(t *testing.T) {
	b := start(t)
	b.step(t, 10*time.Second)
	if _, ok := b.el.HoldsLease(); !ok {
		t.Fatal("lost a lease that was renewed")
	}
	b.state.Refuse("a", true)
	b.step(t, 6*time.Second)
	if _, ok := b.el.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats after its lease may have lapsed, though others are served")
	}
	if b.asked.Load() == 0 {
		t.Error("the others were never asked")
	}
}

func TestOutageAttestedByAll(t *testing.T) {
	b := start(t)
	b.all.Store(true)
	b.state.Refuse("", true)
	b.step(t, 30*time.Second)
	if _, ok := b.el.MayAnswerHeartbeats(); !ok {
		t.Error("does not answer heartbeats though all are refused")
	}
	if _, ok := b.el.HoldsLease(); ok {
		t.Error("orders something new without a lease")
	}
	// One of the others is served again: nobody knows what it may do.
	b.all.Store(false)
	b.step(t, 2*time.Second)
	if _, ok := b.el.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats after another was no longer refused")
	}
	b.state.Refuse("", false)
	b.step(t, time.Second)
	if _, ok := b.el.HoldsLease(); !ok {
		t.Error("does not order after the outage, though its lease had its full time again")
	}
}

func TestRaise(t *testing.T) {
	b := start(t)
	before, _ := b.el.HoldsLease()
	// The answer is lost, but the write was done: it is recognised, not repeated.
	b.state.LoseResponses(1)
	got, err := b.el.RaiseToken(t.Context())
	if err != nil || got != before+1 {
		t.Fatalf("raised to %d, %v; want %d", got, err, before+1)
	}
	var rec store.TokenRecord
	if !b.state.Value(store.KeyToken, &rec) || rec.Token != got {
		t.Errorf("recorded %d, want %d", rec.Token, got)
	}
}

// An attestation that takes long is counted from when it was asked for: when it
// comes, the time that it was good for is over.
func TestLateAttestationIsVoid(t *testing.T) {
	b := start(t)
	b.slow.Store(true)
	b.all.Store(true)
	b.state.Refuse("", true)
	b.step(t, 6*time.Second)
	if _, ok := b.el.MayAnswerHeartbeats(); ok {
		t.Error("answers heartbeats on an attestation that was asked for longer ago than it holds")
	}
}

// A node that has given the lead up leaves it to others for a while. Where nobody takes it, it does
// so itself: whoever can lead takes a free lead at once.
func TestNobodyTakesTheLead(t *testing.T) {
	b := start(t)
	b.el.Resign()
	<-b.ended
	began := b.clk.Now()
	for {
		select {
		case <-b.term:
			waited := b.clk.Now().Sub(began)
			if waited < maxVacancy.Duration() || waited >= resignCooldown.Duration() {
				t.Errorf("it leads again after %v", waited)
			}
			return
		default:
		}
		if b.clk.Now().Sub(began) > resignCooldown.Duration() {
			t.Fatal("nobody leads, and it waits on")
		}
		b.step(t, 100*time.Millisecond)
	}
}

// As long as another leads, and for a moment after that, a node that has given the lead up rests.
func TestRestsWhileAnotherLeads(t *testing.T) {
	b := start(t)
	b.el.Resign()
	b.step(t, 2*time.Second)
	b.el.mu.Lock()
	b.el.leader, b.el.seenAt, b.el.vacantSince = "b", b.el.clock.Now(), 0 // as when another's key is seen
	b.el.mu.Unlock()
	b.step(t, 2*time.Second)
	select {
	case <-b.term:
		t.Error("it leads again a moment after another did")
	default:
	}
}
