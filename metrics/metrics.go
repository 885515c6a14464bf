// Package metrics collects a controller's metrics and serves them as JSON.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"

	"cedardoor/clock"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-chi/chi/v5"
)

// path is where the metrics are served.
const path = "/metrics"

// The names of the metrics. Those of histograms are in microseconds.
const (
	acceptLatency = "accept_us" // of responses to submissions
	startLatency  = "start_us"  // of tasks, since the leader learned of their job
	roundLatency  = "round_us"  // of repair rounds
	doneLatency   = "done_us"   // of jobs, since the leader learned of them

	acceptedCount = "accepted" // submissions
	rejectedCount = "rejected" // submissions that are invalid or too many
	putOffCount   = "put_off"  // submissions that could not be served
	startsCount   = "starts"   // of tasks
	jobsDoneCount = "jobs_done"
	movesCount    = "moves" // of tasks, by repair rounds

	violationsGauge    = "violations" // found by the last repair round
	waitingTasksGauge  = "waiting_tasks"
	machinesGauge      = "machines"
	allocationsGauge   = "bookings"
	refusedOffersGauge = "refused_offers" // machine types that the cloud has none of
)

const (
	maxLatency         = 3600 * clock.Second
	significantFigures = 2
)

// Metrics are the metrics of a controller. They are safe for concurrent use.
type Metrics struct {
	mu         sync.Mutex // guards all fields
	histograms map[string]*hdr.Histogram
	counts     map[string]int64
	gauges     map[string]int64
}

// New makes metrics without any observations.
func New() *Metrics {
	m := &Metrics{histograms: map[string]*hdr.Histogram{}, counts: map[string]int64{}, gauges: map[string]int64{}}
	for _, name := range []string{acceptLatency, startLatency, roundLatency, doneLatency} {
		m.histograms[name] = hdr.New(1, int64(maxLatency), significantFigures)
	}
	return m
}

// observe records a latency. The caller holds mu.
func (m *Metrics) observe(name string, latency clock.Micros) {
	histogram := m.histograms[name]
	// The error is of values out of range, which there are none of.
	_ = histogram.RecordValue(min(max(1, int64(latency)), histogram.HighestTrackableValue()))
}

// ObserveSubmission observes a response to a submission.
func (m *Metrics) ObserveSubmission(latency clock.Micros, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(acceptLatency, latency)
	switch {
	case status < http.StatusMultipleChoices:
		m.counts[acceptedCount]++
	case status < http.StatusInternalServerError:
		m.counts[rejectedCount]++
	default:
		m.counts[putOffCount]++
	}
}

// ObserveTaskStart observes the start of a task, with the time since the leader learned of its job.
func (m *Metrics) ObserveTaskStart(latency clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(startLatency, latency)
	m.counts[startsCount]++
}

// ObserveJobDone observes the end of a job, with the time since the leader learned of it.
func (m *Metrics) ObserveJobDone(latency clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(doneLatency, latency)
	m.counts[jobsDoneCount]++
}

// ObserveRepairRound observes a repair round.
func (m *Metrics) ObserveRepairRound(latency clock.Micros, violations, moves int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(roundLatency, latency)
	m.counts[movesCount] += int64(moves)
	m.gauges[violationsGauge] = int64(violations)
}

// SetWaitingTasks sets the number of tasks that wait for resources.
func (m *Metrics) SetWaitingTasks(tasks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[waitingTasksGauge] = int64(tasks)
}

// SetFleet sets the numbers of machines, of allocations on them, and of machine types that the cloud
// refused.
func (m *Metrics) SetFleet(machines, allocations, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[machinesGauge] = int64(machines)
	m.gauges[allocationsGauge] = int64(allocations)
	m.gauges[refusedOffersGauge] = int64(refused)
}

// histogramSummary is how a histogram is served. The order of its fields is that of their names.
type histogramSummary struct {
	Count int64 `json:"count"`
	Max   int64 `json:"max"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
}

func summarize(h *hdr.Histogram) histogramSummary {
	return histogramSummary{Count: h.TotalCount(), Max: h.Max(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99)}
}

// snapshot is the values of all metrics by name.
func (m *Metrics) snapshot() map[string]any {
	values := map[string]any{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, histogram := range m.histograms {
		values[name] = summarize(histogram)
	}
	for name, count := range m.counts {
		values[name] = count
	}
	for name, gauge := range m.gauges {
		values[name] = gauge
	}
	return values
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.snapshot())
	})
	return r
}
