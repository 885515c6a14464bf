package election

import (
	"context"
	"errors"

	"cedardoor/clock"
	"cedardoor/store"
)

// AttestationTTL is how long a leader may answer heartbeats after it asked all other
// controllers and each attested that the state service refuses it too.
const AttestationTTL = 1500 * clock.Millisecond

const (
	// leaseMargin is subtracted from a lease's duration to allow for clock drift and slow responses.
	leaseMargin = 250 * clock.Millisecond
	// maxRenewTimeout bounds one renewal while renewals succeed.
	maxRenewTimeout = clock.Second
	// outageRenewTimeout and outageRenewInterval apply to renewals after a failed one.
	outageRenewTimeout  = 500 * clock.Millisecond
	outageRenewInterval = 300 * clock.Millisecond
	// attestationTimeout bounds one round of attestations, including the refusal probe that precedes
	// it; refusalProbeTimeout bounds the probe alone.
	attestationTimeout  = clock.Second
	refusalProbeTimeout = 400 * clock.Millisecond
)

// leaseState is what this node can be sure of about the lease of the current term.
type leaseState struct {
	id            uint64
	until         clock.Micros // the lease cannot have expired before this time
	attestedUntil clock.Micros // the other controllers' attestations are valid until this time
	interruptions uint64       // renewals after the lease may have expired, in all terms
}

// recordGrant records a new lease and drops attestations for the previous one.
func (l *leaseState) recordGrant(id uint64, until clock.Micros) {
	l.id, l.until, l.attestedUntil = id, until, 0
}

// recordRenewal records a renewal of the lease. It counts an interruption if the lease
// may have expired before.
func (l *leaseState) recordRenewal(now, until clock.Micros) {
	if !l.held(now) {
		l.interruptions++
	}
	l.until = until
}

// recordAttestation records that all other controllers, asked at the given time, attested the outage.
func (l *leaseState) recordAttestation(requestedAt clock.Micros) {
	l.attestedUntil = requestedAt + AttestationTTL
}

// held reports whether the lease cannot have expired.
func (l *leaseState) held(now clock.Micros) bool { return now < l.until }

// heldOrAttested reports whether no other controller can have replaced the leader: the
// lease cannot have expired, or none of them was able to take the leader key.
func (l *leaseState) heldOrAttested(now clock.Micros) bool {
	return l.held(now) || now < l.attestedUntil
}

// leaseEnd returns the time until which a lease is certainly valid if it was granted or renewed by a
// request sent at the given time.
func (e *Elector) leaseEnd(requestedAt clock.Micros) clock.Micros {
	return requestedAt + e.leaseTTL - leaseMargin
}

// keepLease renews the lease until the lease is known to have ended or ctx ends.
func (e *Elector) keepLease(ctx context.Context, leaseID uint64) {
	for {
		e.pause(ctx, e.renewInterval)
		if ctx.Err() != nil {
			return
		}
		err := e.renewLease(ctx, leaseID, min(e.renewInterval, maxRenewTimeout))
		if err == nil {
			continue
		}
		if errors.Is(err, store.ErrNoLease) {
			return
		}
		e.log.Debug("lease not renewed", "lease", leaseID, "error", err)
		if err := e.retryRenewal(ctx, leaseID); err != nil {
			return
		}
	}
}

// retryRenewal retries after a failed renewal until one succeeds. In the meantime the
// leader may act only until its lease may have expired, unless every other controller is
// refused as well: then none can have replaced it. An error means that the term has ended.
func (e *Elector) retryRenewal(ctx context.Context, leaseID uint64) error {
	for ctx.Err() == nil {
		e.requestAttestations(ctx)
		err := e.renewLease(ctx, leaseID, outageRenewTimeout)
		if err == nil {
			return nil
		}
		e.pause(ctx, outageRenewInterval)
		if errors.Is(err, store.ErrNoLease) {
			return err
		}
	}
	return ctx.Err()
}

// renewLease makes one attempt to renew the lease.
func (e *Elector) renewLease(ctx context.Context, leaseID uint64, timeout clock.Micros) error {
	requestedAt := e.clock.Now()
	if err := e.store.RenewLease(ctx, leaseID, timeout); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.recordRenewal(e.clock.Now(), e.leaseEnd(requestedAt))
	return nil
}

// requestAttestations asks the other controllers to attest the outage, if the state service refuses this node.
func (e *Elector) requestAttestations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, attestationTimeout.Duration())
	defer cancel()
	requestedAt := e.clock.Now()
	if !e.store.ProbeRefused(ctx, refusalProbeTimeout) || !e.attest(ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.recordAttestation(requestedAt)
}
