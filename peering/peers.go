// Package peering sends a controller's requests to the other controllers: it relays users' requests,
// requests attestations of an outage and counts of tasks, and notifies the leader of cancellations.
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
	// relayTimeout limits how long other controllers may take to serve a user's request.
	relayTimeout = 1200 * time.Millisecond
	// relayPause is how long no request is relayed after all other controllers have refused one.
	relayPause = 1 * clock.Second
	// pingTimeout limits how long other controllers may take to respond to an empty request.
	pingTimeout = 400 * time.Millisecond
	// hintTimeout limits how long the leader may take to accept hints.
	hintTimeout = 1 * time.Second
	// countsTimeout limits how long the leader may take to return counts, which are for display only.
	countsTimeout = 250 * time.Millisecond
	// maxHintsPerMessage is the maximum number of cancellations in a message to the leader. Further
	// ones are dropped until the message is sent.
	maxHintsPerMessage = 1024
)

// Peers sends requests to the other controllers.
type Peers struct {
	clock            *clock.Clock
	leader           func() string // returns the name of the leading controller
	log              *slog.Logger
	attestationLinks map[string]*peer.Link // for attestations, which must not wait for other calls
	links            map[string]*peer.Link // for all other requests
	relayAfter       atomic.Int64          // end of the pause in relaying, on the monotonic clock
	hints            cancelHints
}

// New returns Peers without any other controller; see Add.
func New(clk *clock.Clock, leader func() string, log *slog.Logger) *Peers {
	return &Peers{clock: clk, leader: leader, log: log, attestationLinks: map[string]*peer.Link{}, links: map[string]*peer.Link{}}
}

// Add adds another controller. It must not be called after any other method.
func (p *Peers) Add(node, addr string) {
	p.attestationLinks[node], p.links[node] = peer.NewLink(addr), peer.NewLink(addr)
}

// Len returns the number of other controllers.
func (p *Peers) Len() int { return len(p.links) }

// Link returns the link to the named controller, or nil if there is no such controller.
func (p *Peers) Link(node string) *peer.Link { return p.links[node] }

// callAll sends a request to all controllers concurrently and delivers one result for each, as they
// arrive. The result of a failed call has an empty response.
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

// result is the response to a call, or its error.
type result struct {
	response peer.Response
	err      error
}

// Relay sends a user's request to all other controllers concurrently and returns the first response of
// one that could serve it. If none could, as in an outage of the state service, relaying is paused for
// relayPause; see RelayPaused.
func (p *Peers) Relay(ctx context.Context, request peer.UserRequest) (response peer.UserResponse, served bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	results := callAll(ctx, p.links, peer.Request{User: request})
	for range p.links {
		response := (<-results).response.User
		if response.Status != 0 && response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	p.relayAfter.Store(int64(p.clock.Now() + relayPause))
	return peer.UserResponse{}, false
}

// RelayPaused reports whether relaying is paused, because no other controller could serve a request a
// moment ago.
func (p *Peers) RelayPaused() bool { return p.clock.Now() < clock.Micros(p.relayAfter.Load()) }

// Isolated reports whether no other controller responds.
func (p *Peers) Isolated(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	results := callAll(ctx, p.links, peer.Request{})
	for range p.links {
		if (<-results).err == nil {
			return false
		}
	}
	return true
}

// RequestAttestations requests an attestation from every other controller that the state service
// refuses it too. It returns the cancellations that they list, and whether all of them attested.
func (p *Peers) RequestAttestations(ctx context.Context, request peer.AttestationRequest) (cancelled []string, all bool) {
	results := callAll(ctx, p.attestationLinks, peer.Request{Attestation: request})
	all = true
	for range p.attestationLinks {
		attestation := (<-results).response.Attestation
		all = all && attestation.Attested
		cancelled = append(cancelled, attestation.Cancelled...)
	}
	return cancelled, all
}

// Counts requests from the leader how many tasks of each job are done and running. It returns nil if
// the leader is not known or does not respond.
func (p *Peers) Counts(ctx context.Context, uids []string) map[string]peer.TaskCounts {
	link := p.links[p.leader()]
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

// cancelHints is a queue of cancellations that have yet to be sent to the leader.
type cancelHints struct {
	mu      sync.Mutex // guards the fields below
	uids    []string
	sending bool
}

// HintCancelled notifies the leader at once of a cancellation made through this controller. Otherwise
// the leader learns of it from the state service, if that serves the leader. It is only a hint: losing,
// delaying or repeating it does no harm.
func (p *Peers) HintCancelled(uid string) {
	if len(p.links) == 0 {
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

// take removes and returns all queued cancellations. If there are none, it clears sending and the
// caller must stop.
func (h *cancelHints) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	uids := h.uids
	h.uids = nil
	h.sending = len(uids) > 0
	return uids
}

// sendHints sends the queued cancellations to the leader, one batch after another, until the queue is
// empty. It drops a batch if the leader is not known or does not respond.
func (p *Peers) sendHints() {
	for uids := p.hints.take(); len(uids) > 0; uids = p.hints.take() {
		link := p.links[p.leader()]
		if link == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
		if _, err := link.Call(ctx, peer.Request{CancelHints: uids}); err != nil {
			p.log.Debug("sending cancellations to the leader failed", "error", err)
		}
		cancel()
	}
}
