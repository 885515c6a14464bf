package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cedardoor/agent"
	"cedardoor/store"
	"cedardoor/wire"
)

const (
	// cancelTimeout limits the time to serve a cancellation.
	cancelTimeout = 3 * time.Second
	// maxCancelAttempts limits the attempts to cancel a job whose record keeps changing.
	maxCancelAttempts = 4
)

// errJobKeepsChanging means that every attempt to cancel a job failed because its record had changed.
var errJobKeepsChanging = errors.New("the job keeps changing")

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), cancelTimeout)
	defer cancel()
	uid, err := jobInPath(r)
	if err != nil {
		s.respondError(w, err)
		return
	}
	status, err := s.cancel(ctx, uid)
	if err != nil {
		s.respondError(w, err)
		return
	}
	agent.WriteResponse(w, http.StatusOK, wire.JobStatus{UID: uid, Status: status})
}

// cancel cancels a job unless it is finished, and returns the job's final status.
func (s *Server) cancel(ctx context.Context, uid string) (status string, err error) {
	for range maxCancelAttempts {
		job, err := s.lookUp(ctx, uid)
		if err != nil {
			return "", err
		}
		if job.final != nil {
			return job.final.Status, nil
		}
		err = s.commitCancellation(ctx, uid, &job)
		var conflict *store.Conflict
		switch {
		case err == nil:
			return wire.JobCancelled, nil
		case !errors.As(err, &conflict):
			return "", err
		}
		// The job was finished or cancelled after its record was read.
	}
	return "", errJobKeepsChanging
}

// commitCancellation replaces the record of an unfinished job with a final state, unless the record
// has changed since it was read.
func (s *Server) commitCancellation(ctx context.Context, uid string, job *durableJob) error {
	final := store.NewFinalRecord(&job.record.Spec, wire.JobCancelled, s.Node)
	s.Cancellations.AddPending(uid)
	revision, err := s.jobSubmitter().writer.commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: store.JobKey(uid), ModRevision: job.modRevision}},
		Operations: []wire.Operation{{Delete: store.JobKey(uid)}, {Set: store.FinalKey(uid), Value: final}},
	})
	var conflict *store.Conflict
	if errors.As(err, &conflict) || errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrMalformed) {
		s.Cancellations.Discard(uid)
	}
	if err != nil {
		return err
	}
	s.rememberFinal(uid, final, revision)
	if s.OnCancelled != nil {
		s.OnCancelled(uid)
	}
	return nil
}
