// Package peering is a controller's side of the talk between controllers: it passes users' requests
// on, asks for attestations of an outage, and hints cancellations to the leader.
package peering

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cedardoor/clock"
	"cedardoor/peer"
)

const (
	// relayTimeout is how long another controller may take to serve a user's request.
	relayTimeout = 1200 * time.Millisecond
	// relayPause is for how long nothing is passed on after all others have refused.
	relayPause = 1 * clock.Second
	// presenceTimeout is how long another controller may take to answer at all.
	presenceTimeout = 400 * time.Millisecond
	// hintTimeout is how long the leader may take to take a hint in.
	hintTimeout = 1 * time.Second
	// countsTimeout is how long the leader may take to tell counts, which are for display only.
	countsTimeout = 250 * time.Millisecond
	// maxHintsPerMessage is how many cancellations one message tells the leader of.
	maxHintsPerMessage = 1024
)

// Peers are the other controllers.
type Peers struct {
	clock       *clock.Clock
	leader      func() string // names the controller that leads
	log         *slog.Logger
	attestation map[string]*peer.Link // for attestations, which must not wait
	relay       map[string]*peer.Link // for users' requests and all else
	relayAfter  atomic.Int64          // when relaying is worth trying again, on the steady clock
	hints       cancelHints
}

// New makes Peers that know no other controller yet.
func New(clk *clock.Clock, leader func() string, log *slog.Logger) *Peers {
	return &Peers{clock: clk, leader: leader, log: log, attestation: map[string]*peer.Link{}, relay: map[string]*peer.Link{}}
}

// Add makes the links to another controller. It is not to be called once others are.
func (p *Peers) Add(node, addr string) {
	p.attestation[node], p.relay[node] = peer.NewLink(addr), peer.NewLink(addr)
}

// Len is how many other controllers there are.
func (p *Peers) Len() int { return len(p.relay) }

// Link gives the link to a controller; nil when there is none of that name.
func (p *Peers) Link(node string) *peer.Link { return p.relay[node] }

// callAll sends a request to all controllers at once, and gives their responses as they come; a
// controller that does not answer gives an empty one.
func callAll(ctx context.Context, links map[string]*peer.Link, request peer.Request) <-chan result {
	results := make(chan result, len(links))
	for _, link := range links {
		go func() {
			response, err := link.Call(ctx, request)
			if err != nil {
				response = peer.Response{}
			}
			results <- result{response, err}
		}()
	}
	return results
}

// result is what came of a call.
type result struct {
	response peer.Response
	err      error
}

// Relay asks the other controllers at once to serve a user's request, and takes the first answer
// that is one. In an outage none can, and after a round of refusals none is asked for a moment.
func (p *Peers) Relay(ctx context.Context, request peer.UserRequest) (response peer.UserResponse, served bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	results := callAll(ctx, p.relay, peer.Request{User: request})
	for range p.relay {
		response := (<-results).response.User
		if response.Status != 0 && response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	p.relayAfter.Store(int64(p.clock.Now() + relayPause))
	return peer.UserResponse{}, false
}

// RelayPaused tells whether all others have refused a moment ago.
func (p *Peers) RelayPaused() bool { return p.clock.Now() < clock.Micros(p.relayAfter.Load()) }

// Isolated tells whether no other controller answers.
func (p *Peers) Isolated(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	results := callAll(ctx, p.relay, peer.Request{})
	for range p.relay {
		if (<-results).err == nil {
			return false
		}
	}
	return true
}

// RequestAttestations asks every other controller whether the state service refuses it too. Each names
// with its attestation what was cancelled through it since the asker last knew.
func (p *Peers) RequestAttestations(ctx context.Context, request peer.AttestationRequest) (cancelled []string, all bool) {
	results := callAll(ctx, p.attestation, peer.Request{Attestation: request})
	all = true
	for range p.attestation {
		attestation := (<-results).response.Attestation
		all = all && attestation.Attested
		cancelled = append(cancelled, attestation.Cancelled...)
	}
	return cancelled, all
}

// Counts asks the leader how many tasks of jobs are done and running.
func (p *Peers) Counts(ctx context.Context, uids []string) map[string]peer.TaskCounts {
	link := p.relay[p.leader()]
	if link == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	response, err := link.Call(ctx, peer.Request{CountsOf: uids})
	if err != nil {
		return nil
	}
	return response.Counts
}

// cancelHints are cancellations that the leader is yet to be told of.
type cancelHints struct {
	mu      sync.Mutex // guards the fields below
	uids    []string
	sending bool
}

// HintCancelled tells the leader at once of a cancellation made here, which it would else learn from
// the state service, if that serves it. It is a hint: lost, late or repeated it harms nothing.
func (p *Peers) HintCancelled(uid string) {
	if len(p.relay) == 0 {
		return
	}
	p.hints.mu.Lock()
	defer p.hints.mu.Unlock()
	if len(p.hints.uids) < maxHintsPerMessage {
		p.hints.uids = append(p.hints.uids, uid)
	}
	if !p.hints.sending {
		p.hints.sending = true
		go p.sendHints()
	}
}

// take takes the cancellations to be told; the sender ends when there are none.
func (h *cancelHints) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	uids := h.uids
	h.uids = nil
	h.sending = len(uids) > 0
	return uids
}

// sendHints tells the leader of one batch after another until none waits.
func (p *Peers) sendHints() {
	for uids := p.hints.take(); len(uids) > 0; uids = p.hints.take() {
		link := p.relay[p.leader()]
		if link == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
		if _, err := link.Call(ctx, peer.Request{CancelHints: uids}); err != nil {
			p.log.Debug("leader not told of cancellations", "error", err)
		}
		cancel()
	}
}
