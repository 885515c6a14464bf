// Package metrics collects a controller's figures and serves them as JSON.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"

	"cedardoor/clock"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-chi/chi/v5"
)

// Metrics are the daemon's figures, served as JSON where operators ask for them.
type Metrics struct {
	mu     sync.Mutex // guards all fields
	accept *hdr.Histogram
	start  *hdr.Histogram
	round  *hdr.Histogram
	done   *hdr.Histogram
	counts map[string]int64
	gauges map[string]int64
}

// New makes empty figures.
func New() *Metrics {
	h := func() *hdr.Histogram { return hdr.New(1, int64(3600*clock.Second), 2) }
	return &Metrics{accept: h(), start: h(), round: h(), done: h(), counts: map[string]int64{}, gauges: map[string]int64{}}
}

func (m *Metrics) record(h *hdr.Histogram, v clock.Micros) {
	_ = h.RecordValue(min(max(1, int64(v)), h.HighestTrackableValue()))
}

// ObserveSubmission notes a submission's answer.
func (m *Metrics) ObserveSubmission(took clock.Micros, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(m.accept, took)
	switch {
	case status < 300:
		m.counts["accepted"]++
	case status < 500:
		m.counts["rejected"]++
	default:
		m.counts["put_off"]++
	}
}

// ObserveTaskStart notes a task's start, counted from when the leader learned of its job.
func (m *Metrics) ObserveTaskStart(after clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(m.start, after)
	m.counts["starts"]++
}

// ObserveJobDone notes a job's end.
func (m *Metrics) ObserveJobDone(after clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(m.done, after)
	m.counts["jobs_done"]++
}

// ObserveRepairRound notes a repair round.
func (m *Metrics) ObserveRepairRound(took clock.Micros, violations, moves int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(m.round, took)
	m.counts["moves"] += int64(moves)
	m.gauges["violations"] = int64(violations)
}

// SetWaitingTasks notes how many tasks wait for room.
func (m *Metrics) SetWaitingTasks(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges["waiting_tasks"] = int64(n)
}

// SetFleet notes what the leader holds.
func (m *Metrics) SetFleet(machines, bookings, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges["machines"], m.gauges["bookings"], m.gauges["refused_offers"] = int64(machines), int64(bookings), int64(refused)
}

// Handler serves the figures.
func (m *Metrics) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		out := map[string]any{}
		m.mu.Lock()
		for name, h := range map[string]*hdr.Histogram{"accept_us": m.accept, "start_us": m.start, "round_us": m.round, "done_us": m.done} {
			out[name] = map[string]any{"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90), "p99": h.ValueAtQuantile(99), "max": h.Max()}
		}
		for k, v := range m.counts {
			out[k] = v
		}
		for k, v := range m.gauges {
			out[k] = v
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
	return r
}
