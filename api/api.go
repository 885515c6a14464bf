// Package api serves the users: submissions, queries, aborts and health.
// Any node answers them from durable truth.
package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedardoor/agent"
	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/go-chi/chi/v5"
)

// errUnknownJob means that a job was never accepted.
var errUnknownJob = errors.New("no such job")

// Server answers users' requests.
type Server struct {
	Store   *store.Client
	Clock   *clock.Clock
	Node    string
	Teams   []config.Team
	Catalog func(ctx context.Context) (wire.Catalog, bool)
	// Counts tells how many tasks of jobs are done and running, for display.
	Counts func(ctx context.Context, uids []string) map[string][2]int
	Log    *slog.Logger
	// Cancellations is what this node has told users, or may be about to.
	Cancellations CancellationLog
	// OnCancelled, if set, is told of each cancel that this node has made.
	OnCancelled func(uid string)
	// ObserveSubmission, if set, is told of each submission's answer.
	ObserveSubmission func(took clock.Micros, status int)

	// MinReadInterval is the least time between the reads that polls share, where that is
	// more than what the state service asks for.
	MinReadInterval clock.Micros

	// Relay passes a request to another controller and gives its answer, unless
	// none could serve it.
	Relay func(ctx context.Context, method, path string, body []byte) (status int, answer []byte, ok bool)

	// Isolated, if set, tells that neither the state service nor any other controller
	// can be reached, so that no user can be served.
	Isolated func(ctx context.Context) bool

	mu   sync.Mutex // guards the fields below
	over map[string]store.FinalRecord
	jobs *view
	in   *intake
}

// maxOver bounds the cache of final states, which never change.
const maxOver = 20_000

// Routes adds the users' paths to a router.
func (u *Server) Routes(r chi.Router) {
	r.Post(wire.PathJobs, u.relayed(u.submit))
	r.Get(wire.PathJobs+"/{uid}", u.relayed(u.query))
	r.Post(wire.PathJobs+"/{uid}/"+wire.SuffixCancel, u.relayed(u.abort))
	r.Get(wire.PathHealth, u.health)
}

// health fails only where other nodes may do better: a node cut off from all
// that it needs. In an outage of the state service every node answers alike,
// and at once, so none is taken out.
func (u *Server) health(w http.ResponseWriter, r *http.Request) {
	if u.Isolated != nil && u.Store.Failing() && u.Isolated(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type relayKey struct{}

// MarkRelayed marks a request that another controller passed on: it is not passed on again.
func MarkRelayed(ctx context.Context) context.Context { return context.WithValue(ctx, relayKey{}, true) }

// BufferedResponse is an answer held in memory until it is clear where it goes.
type BufferedResponse struct {
	header   http.Header
	Status int
	Body   bytes.Buffer
}

// NewBufferedResponse makes an empty answer.
func NewBufferedResponse() *BufferedResponse { return &BufferedResponse{header: http.Header{}, Status: http.StatusOK} }

// Header implements http.ResponseWriter.
func (k *BufferedResponse) Header() http.Header { return k.header }

// WriteHeader implements http.ResponseWriter.
func (k *BufferedResponse) WriteHeader(status int) { k.Status = status }

// Write implements http.ResponseWriter.
func (k *BufferedResponse) Write(p []byte) (int, error) { return k.Body.Write(p) }

// relayed serves a request here, or through another controller when the state
// service does not serve this one: every request may be repeated, so one that
// was half done here is simply done again there.
func (u *Server) relayed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if u.Relay == nil || r.Context().Value(relayKey{}) != nil {
			next(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
		if err != nil {
			refuse(w, http.StatusBadRequest, 0, "body too large or cut short")
			return
		}
		relay := func() bool {
			status, answer, ok := u.Relay(r.Context(), r.Method, r.URL.Path, body)
			if !ok || status == http.StatusServiceUnavailable {
				return false
			}
			w.Header().Set("Content-Type", wire.ContentType)
			w.WriteHeader(status)
			_, _ = w.Write(answer)
			return true
		}
		failing := u.Store.Failing()
		if failing {
			if relay() {
				return
			}
			// Now and then one request finds out whether the state service answers
			// again; meanwhile none is kept waiting for it.
			if !u.Store.AllowRetry() {
				u.unavailable(w, errors.New("the state service does not answer"))
				return
			}
		}
		h := NewBufferedResponse()
		h.header = w.Header()
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(h, r)
		if h.Status == http.StatusServiceUnavailable && !failing && u.Store.Failing() && relay() {
			return
		}
		w.WriteHeader(h.Status)
		_, _ = w.Write(h.Body.Bytes())
	}
}

func refuse(w http.ResponseWriter, status int, after int, why string) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(after))
	}
	agent.WriteResponse(w, status, wire.Error{Error: why})
}

// unavailable answers at once that the request can't be taken now, and when to come back.
func (u *Server) unavailable(w http.ResponseWriter, err error) {
	u.Log.Debug("request refused", "error", err)
	refuse(w, http.StatusServiceUnavailable, 1, "try again")
}

// crowded answers at once that more is submitted than can be taken. Those that
// are refused are told to come back at times spread out, the lowest priority later,
// so that they are not all back together.
func (u *Server) crowded(w http.ResponseWriter, priority string) {
	after := 1 + rand.IntN(2)
	if r, _ := wire.ParsePriority(priority); r == wire.PriorityLow {
		after = 2 + rand.IntN(8)
	}
	refuse(w, http.StatusTooManyRequests, after, "too many submissions: try again")
}

// lookup reads what is durably known of a job. An unfinished job is looked for
// before a finished one: a job moves only that way, in one transaction.
func (u *Server) lookup(ctx context.Context, uid string) (job *wire.Row, over *store.FinalRecord, err error) {
	u.mu.Lock()
	rec, cached := u.over[uid]
	u.mu.Unlock()
	if cached {
		return nil, &rec, nil
	}
	row, found, err := u.Store.Get(ctx, store.Urgent, store.JobKey(uid))
	if err != nil {
		return nil, nil, err
	}
	if !found {
		over, err = u.finished(ctx, uid)
		return nil, over, err
	}
	var kept store.JobRecord
	if err := wire.Unmarshal(row.Value, &kept); err != nil {
		return nil, nil, fmt.Errorf("record of %s: %w", uid, err)
	}
	if kept.Final != nil {
		u.remember(uid, *kept.Final, row.ModRevision)
		return nil, kept.Final, nil
	}
	return &row, nil, nil
}

// remember keeps a final state, which is durable since the given epoch, before
// anybody is told.
func (u *Server) remember(uid string, rec store.FinalRecord, epoch uint64) {
	if rec.Status == wire.JobCancelled {
		u.Cancellations.Record(uid, epoch)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over == nil || len(u.over) >= maxOver {
		u.over = map[string]store.FinalRecord{}
	}
	u.over[uid] = rec
}

func (u *Server) view(ctx context.Context, uid string) (wire.JobStatus, error) {
	u.mu.Lock()
	rec, cached := u.over[uid]
	if u.jobs == nil {
		u.jobs = &view{st: u.Store, ck: u.Clock, count: u.Counts, over: u.remember, pause: max(u.Store.ReadInterval(), u.MinReadInterval), live: map[string]standing{}}
	}
	jobs := u.jobs
	u.mu.Unlock()
	if cached {
		return final(uid, &rec), nil
	}
	at, n, err := jobs.ask(ctx, uid)
	if err != nil {
		return wire.JobStatus{}, err
	}
	if at == unfinished {
		v := wire.JobStatus{UID: uid, Status: wire.JobQueued, Done: n[0], Running: n[1]}
		if n[1] > 0 {
			v.Status = wire.JobRunning
		}
		return v, nil
	}
	if at == unreadable {
		return wire.JobStatus{}, fmt.Errorf("record of %s: %w", uid, store.ErrBadAnswer)
	}
	u.mu.Lock()
	rec, cached = u.over[uid]
	u.mu.Unlock()
	if cached {
		return final(uid, &rec), nil
	}
	if at == settled {
		// Over, in its record still or in its final place by now.
		_, over, err := u.lookup(ctx, uid)
		if err != nil {
			return wire.JobStatus{}, err
		}
		if over == nil {
			return wire.JobStatus{}, fmt.Errorf("record of %s: %w", uid, store.ErrBadAnswer)
		}
		return final(uid, over), nil
	}
	// Over, since a job leaves the unfinished ones only that way; or never accepted.
	over, err := u.finished(ctx, uid)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return final(uid, over), nil
}

func final(uid string, over *store.FinalRecord) wire.JobStatus {
	v := wire.JobStatus{UID: uid, Status: over.Status}
	if over.Status == wire.JobDone {
		v.Done = over.Tasks
	}
	return v
}

// maxLookups is how many look-ups of single jobs may wait for this node's share
// of the state service's requests. Each that is not known here takes one, jobs
// that nobody submitted included; the reads that answer all others share it.
const maxLookups = 4

// JobOfRequest names the job that a request is about; empty when it names none.
func JobOfRequest(path string, body []byte) string {
	rest, found := strings.CutPrefix(path, wire.PathJobs)
	if !found {
		return ""
	}
	if rest == "" {
		return wire.DecodeUID(body)
	}
	uid, _, _ := strings.Cut(rest[1:], "/")
	return uid
}

// IsCancel tells whether a path is that of an abort.
func IsCancel(path string) bool { return strings.HasSuffix(path, "/"+wire.SuffixCancel) }

// finished reads a job's final state.
func (u *Server) finished(ctx context.Context, uid string) (*store.FinalRecord, error) {
	if u.Store.Waiting() > maxLookups {
		return nil, fmt.Errorf("look up %s: %w", uid, store.ErrOverloaded)
	}
	row, found, err := u.Store.Get(ctx, store.Urgent, store.FinalKey(uid))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, errUnknownJob
	}
	var rec store.FinalRecord
	if err := wire.Unmarshal(row.Value, &rec); err != nil {
		return nil, fmt.Errorf("final state of %s: %w", uid, err)
	}
	u.remember(uid, rec, row.ModRevision)
	return &rec, nil
}

func (u *Server) submit(w http.ResponseWriter, r *http.Request) {
	began := u.Clock.Now()
	status := u.trySubmit(w, r)
	if u.ObserveSubmission != nil {
		u.ObserveSubmission(u.Clock.Now()-began, status)
	}
}

func (u *Server) trySubmit(w http.ResponseWriter, r *http.Request) int {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, 0, "body too large or cut short")
		return http.StatusBadRequest
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	spec, malformed := wire.DecodeSpec(body)
	uid := spec.UID
	if malformed != nil {
		uid = wire.DecodeUID(body)
	}
	verdict, why := http.StatusCreated, ""
	if malformed != nil {
		verdict, why = http.StatusBadRequest, malformed.Error()
	} else {
		verdict, why = u.judge(ctx, &spec)
	}
	if verdict == http.StatusCreated {
		err := u.taking().accept(ctx, store.JobRecord{Spec: spec, AcceptedUS: int64(u.Clock.Wall()), Node: u.Node})
		if err == nil {
			agent.WriteResponse(w, http.StatusCreated, wire.JobStatus{UID: uid, Status: wire.JobQueued})
			return http.StatusCreated
		}
		var conflict *store.Conflict
		switch {
		case errors.As(err, &conflict):
		case errors.Is(err, store.ErrOverloaded):
			u.crowded(w, spec.Priority)
			return http.StatusTooManyRequests
		default:
			u.unavailable(w, err)
			return http.StatusServiceUnavailable
		}
	}
	// Known already, or not to be taken: an accepted job gets its state whatever
	// a repeat's body holds, so the look-up comes before the refusal.
	if uid != "" {
		v, err := u.view(ctx, uid)
		if err == nil {
			agent.WriteResponse(w, http.StatusOK, v)
			return http.StatusOK
		}
		if !errors.Is(err, errUnknownJob) || verdict == http.StatusCreated {
			u.unavailable(w, err)
			return http.StatusServiceUnavailable
		}
	}
	if verdict == http.StatusServiceUnavailable {
		u.unavailable(w, errors.New(why))
		return verdict
	}
	refuse(w, verdict, 0, why)
	return verdict
}

// taking is where submissions are made durable.
func (u *Server) taking() *intake {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.in == nil {
		most, least := u.Store.UserWrites()
		u.in = &intake{st: u.Store, ck: u.Clock, admission: quota.NewAdmission(config.TeamLimits(u.Teams), most, least)}
	}
	return u.in
}

// judge tells whether a well-formed job can ever run.
func (u *Server) judge(ctx context.Context, s *wire.Spec) (status int, why string) {
	var team *config.Team
	for i := range u.Teams {
		if u.Teams[i].Name == s.Team {
			team = &u.Teams[i]
		}
	}
	if team == nil {
		return http.StatusUnprocessableEntity, "unknown team"
	}
	atOnce := 1
	if s.Kind == wire.KindService || s.Kind == wire.KindGang {
		atOnce = s.Tasks
	}
	if !team.Limits().Admit(quota.NewAmount(s.Cores, s.Accelerators).Times(atOnce)) {
		return http.StatusUnprocessableEntity, "more than the team's limit"
	}
	cat, ok := u.Catalog(ctx)
	if !ok {
		return http.StatusServiceUnavailable, "machine types unknown"
	}
	for _, b := range cat.MachineTypes {
		if fitsMachineType(s, b) {
			return http.StatusCreated, ""
		}
	}
	return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
}

// fitsMachineType tells whether a task of the job fits an empty machine of a type that the job allows.
func fitsMachineType(s *wire.Spec, b wire.MachineType) bool {
	if s.MachineTypes != nil {
		found := false
		for _, sku := range s.MachineTypes {
			found = found || sku == b.SKU
		}
		if !found {
			return false
		}
	}
	if s.Zone != "" {
		found := false
		for _, y := range b.Zones {
			found = found || y == s.Zone
		}
		if !found {
			return false
		}
	}
	const slop = 1e-9
	return s.Cores <= b.Cores+slop && s.Accelerators <= b.Accelerators+slop && s.RAM <= b.RAM+slop
}

func (u *Server) query(w http.ResponseWriter, r *http.Request) {
	uid := chi.URLParam(r, "uid")
	if !wire.ValidUID(uid) {
		refuse(w, http.StatusNotFound, 0, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 1500*time.Millisecond)
	defer cancel()
	v, err := u.view(ctx, uid)
	switch {
	case err == nil:
		agent.WriteResponse(w, http.StatusOK, v)
	case errors.Is(err, errUnknownJob):
		refuse(w, http.StatusNotFound, 0, "no such job")
	default:
		u.unavailable(w, err)
	}
}

func (u *Server) abort(w http.ResponseWriter, r *http.Request) {
	uid := chi.URLParam(r, "uid")
	if !wire.ValidUID(uid) {
		refuse(w, http.StatusNotFound, 0, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	for range 4 {
		row, over, err := u.lookup(ctx, uid)
		if errors.Is(err, errUnknownJob) {
			refuse(w, http.StatusNotFound, 0, "no such job")
			return
		}
		if err != nil {
			u.unavailable(w, err)
			return
		}
		if over != nil {
			agent.WriteResponse(w, http.StatusOK, wire.JobStatus{UID: uid, Status: over.Status})
			return
		}
		var job store.JobRecord
		if err := wire.Unmarshal(row.Value, &job); err != nil {
			u.unavailable(w, err)
			return
		}
		rec := store.NewFinalRecord(&job.Spec, wire.JobCancelled, u.Node)
		u.Cancellations.Expect(uid)
		epoch, err := tryBusy(ctx, u.Store, u.Clock, u.taking().admission, wire.Txn{
			Conditions: []wire.Condition{{Key: store.JobKey(uid), ModRevision: row.ModRevision}},
			Operations: []wire.Operation{{Delete: store.JobKey(uid)}, {Set: store.FinalKey(uid), Value: rec}},
		})
		var conflict *store.Conflict
		switch {
		case err == nil:
			u.remember(uid, rec, epoch)
			if u.OnCancelled != nil {
				u.OnCancelled(uid)
			}
			agent.WriteResponse(w, http.StatusOK, wire.JobStatus{UID: uid, Status: wire.JobCancelled})
			return
		case !errors.As(err, &conflict):
			if errors.Is(err, store.ErrRefused) {
				u.Cancellations.Discard(uid)
			}
			u.unavailable(w, err)
			return
		}
		u.Cancellations.Discard(uid)
		// Done, cancelled or taken up in between: look again.
	}
	u.unavailable(w, errors.New("the job keeps changing"))
}
