package api

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cedardoor/agent"
	"cedardoor/peer"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
)

const (
	// queryTimeout limits the time to answer a query, whether this controller or another one serves
	// it: users wait two seconds.
	queryTimeout = 1800 * time.Millisecond
	// localQueryTimeout limits the time to serve a query here, which leaves some for a relay.
	localQueryTimeout = 1500 * time.Millisecond
)

// maxWaitingLookups is the number of requests waiting for this controller's request budget above which
// lookups of single jobs are refused. Queries of unfinished jobs share one read, but each query of a
// job whose final state is not cached, or which was never submitted, takes a request.
const maxWaitingLookups = 4

func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), localQueryTimeout)
	defer cancel()
	uid, err := jobInPath(r)
	if err != nil {
		s.respondError(w, err)
		return
	}
	status, err := s.status(ctx, uid)
	if err != nil {
		s.respondError(w, err)
		return
	}
	agent.WriteResponse(w, http.StatusOK, status)
}

// jobInPath returns the job id in a request's path, or errUnknownJob if it is not a valid one.
func jobInPath(r *http.Request) (string, error) {
	uid := chi.URLParam(r, "uid")
	if !wire.ValidUID(uid) {
		return "", errUnknownJob
	}
	return uid, nil
}

// status returns a job's status. It is never staler than any status that a controller returned before
// the call.
func (s *Server) status(ctx context.Context, uid string) (wire.JobStatus, error) {
	if final, cached := s.finalStates.get(uid); cached {
		return finalStatus(uid, &final), nil
	}
	state, counts, err := s.statusReader().read(ctx, uid)
	if err != nil {
		return wire.JobStatus{}, err
	}
	switch state {
	case recordUnfinished:
		return unfinishedStatus(uid, counts), nil
	case recordUnreadable:
		return wire.JobStatus{}, fmt.Errorf("record of job %s: %w", uid, store.ErrBadResponse)
	}
	if final, cached := s.finalStates.get(uid); cached {
		return finalStatus(uid, &final), nil
	}
	if state == recordFinal {
		return s.lookUpFinalStatus(ctx, uid)
	}
	// There is no record of an unfinished job: the job is finished or was never accepted.
	final, err := s.readFinalState(ctx, uid)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return finalStatus(uid, final), nil
}

// lookUpFinalStatus returns the status of a finished job, whether or not its final state has been moved
// out of the job's record yet.
func (s *Server) lookUpFinalStatus(ctx context.Context, uid string) (wire.JobStatus, error) {
	job, err := s.lookUp(ctx, uid)
	if err != nil {
		return wire.JobStatus{}, err
	}
	if job.final == nil {
		return wire.JobStatus{}, fmt.Errorf("record of job %s: %w", uid, store.ErrBadResponse)
	}
	return finalStatus(uid, job.final), nil
}

func unfinishedStatus(uid string, counts peer.TaskCounts) wire.JobStatus {
	status := wire.JobStatus{UID: uid, Status: wire.JobQueued, Done: counts.Done, Running: counts.Running}
	if counts.Running > 0 {
		status.Status = wire.JobRunning
	}
	return status
}

func finalStatus(uid string, final *store.FinalRecord) wire.JobStatus {
	status := wire.JobStatus{UID: uid, Status: final.Status}
	if final.Status == wire.JobDone {
		status.Done = final.Tasks
	}
	return status
}

// durableJob is the durable state of a job: its final state, or else the record of the unfinished job.
type durableJob struct {
	final       *store.FinalRecord
	record      store.JobRecord
	modRevision uint64 // of record
}

// lookUp reads a job: first the record of the unfinished job, then, if there is none, the final state.
// One transaction replaces the record with the final state, so reading in this order never misses both.
func (s *Server) lookUp(ctx context.Context, uid string) (durableJob, error) {
	if final, cached := s.finalStates.get(uid); cached {
		return durableJob{final: &final}, nil
	}
	row, found, err := s.Store.Get(ctx, store.Urgent, store.JobKey(uid))
	if err != nil {
		return durableJob{}, err
	}
	if !found {
		final, err := s.readFinalState(ctx, uid)
		return durableJob{final: final}, err
	}
	var record store.JobRecord
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return durableJob{}, fmt.Errorf("decode record of job %s: %w", uid, err)
	}
	if record.Final != nil {
		s.rememberFinal(uid, *record.Final, row.ModRevision)
		return durableJob{final: record.Final}, nil
	}
	return durableJob{record: record, modRevision: row.ModRevision}, nil
}

// readFinalState reads a job's final state. It returns errUnknownJob if there is none, and refuses the
// read if too many requests are waiting.
func (s *Server) readFinalState(ctx context.Context, uid string) (*store.FinalRecord, error) {
	if s.Store.WaitingRequests() > maxWaitingLookups {
		return nil, fmt.Errorf("look up job %s: %w", uid, store.ErrOverloaded)
	}
	row, found, err := s.Store.Get(ctx, store.Urgent, store.FinalKey(uid))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errUnknownJob
	}
	var final store.FinalRecord
	if err := wire.Unmarshal(row.Value, &final); err != nil {
		return nil, fmt.Errorf("decode final state of job %s: %w", uid, err)
	}
	s.rememberFinal(uid, final, row.ModRevision)
	return &final, nil
}

// rememberFinal caches a final state that became durable at the given revision, and records a
// cancellation. It must be called before any user is told of the final state.
func (s *Server) rememberFinal(uid string, final store.FinalRecord, revision uint64) {
	if final.Status == wire.JobCancelled {
		s.Cancellations.Record(uid, revision)
	}
	s.finalStates.put(uid, final)
}
