package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cedardoor/agent"
	"cedardoor/config"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

// submitTimeout limits the time to serve a submission.
const submitTimeout = 3 * time.Second

// errNoCatalog means that the machine types are not known yet.
var errNoCatalog = errors.New("machine types unknown")

func (s *Server) serveSubmit(w http.ResponseWriter, r *http.Request) {
	start := s.Clock.Now()
	status := s.respondSubmit(w, r)
	if s.ObserveSubmission != nil {
		s.ObserveSubmission(s.Clock.Now()-start, status)
	}
}

// respondSubmit responds to a submission and returns the status of the response.
func (s *Server) respondSubmit(w http.ResponseWriter, r *http.Request) (status int) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		return s.respondError(w, errBodyUnreadable)
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	job, accepted, err := s.submit(ctx, body)
	if err != nil {
		return s.respondError(w, err)
	}
	status = http.StatusOK
	if accepted {
		status = http.StatusCreated
	}
	agent.WriteResponse(w, status, job)
	return status
}

// submit accepts a job. If a job with the same id was accepted before, it returns the status of that
// job, whatever else the repeated submission contains.
func (s *Server) submit(ctx context.Context, body []byte) (job wire.JobStatus, accepted bool, err error) {
	spec, err := wire.DecodeSpec(body)
	uid := spec.UID
	if err != nil {
		uid = wire.DecodeUID(body)
		err = &invalidRequestError{http.StatusBadRequest, err.Error()}
	} else {
		err = s.checkSchedulable(ctx, &spec)
	}
	if err == nil {
		err = s.jobSubmitter().submit(ctx, store.JobRecord{Spec: spec, AcceptedUS: int64(s.Clock.Wall()), Node: s.Node})
		if err == nil {
			return wire.JobStatus{UID: uid, Status: wire.JobQueued}, true, nil
		}
		var conflict *store.Conflict
		if errors.Is(err, store.ErrOverloaded) {
			priority, _ := wire.ParsePriority(spec.Priority)
			return wire.JobStatus{}, false, &overloadedError{priority, err}
		}
		if !errors.As(err, &conflict) {
			return wire.JobStatus{}, false, err
		}
	}
	if uid != "" {
		known, lookupErr := s.status(ctx, uid)
		if !errors.Is(lookupErr, errUnknownJob) {
			return known, false, lookupErr
		}
	}
	return wire.JobStatus{}, false, err
}

// checkSchedulable checks that a job can ever run: its team must be known, the tasks that run at the
// same time must be within the team's limit, and a task must fit a machine type.
func (s *Server) checkSchedulable(ctx context.Context, spec *wire.Spec) error {
	var team *config.Team
	for i := range s.Teams {
		if s.Teams[i].Name == spec.Team {
			team = &s.Teams[i]
		}
	}
	if team == nil {
		return &invalidRequestError{http.StatusUnprocessableEntity, "unknown team"}
	}
	concurrentTasks := 1
	if spec.Kind == wire.KindService || spec.Kind == wire.KindGang {
		concurrentTasks = spec.Tasks
	}
	if !team.Limits().WithinLimit(quota.NewAmount(spec.Cores, spec.Accelerators).Times(concurrentTasks)) {
		return &invalidRequestError{http.StatusUnprocessableEntity, "more than the team's limit"}
	}
	catalog, ok := s.Catalog(ctx)
	if !ok {
		return errNoCatalog
	}
	for _, machineType := range catalog.MachineTypes {
		if fitsMachineType(spec, &machineType) {
			return nil
		}
	}
	return &invalidRequestError{http.StatusUnprocessableEntity, "a task fits no allowed machine type"}
}

// fitsMachineType reports whether a job allows a machine type and a task fits an empty machine of it.
func fitsMachineType(spec *wire.Spec, machineType *wire.MachineType) bool {
	if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, machineType.SKU) {
		return false
	}
	if spec.Zone != "" && !slices.Contains(machineType.Zones, spec.Zone) {
		return false
	}
	const tolerance = 1e-9 // for rounding errors of decimal fractions
	return spec.Cores <= machineType.Cores+tolerance && spec.Accelerators <= machineType.Accelerators+tolerance && spec.RAM <= machineType.RAM+tolerance
}
