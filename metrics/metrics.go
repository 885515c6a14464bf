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

// path is the HTTP path of the metrics.
const path = "/metrics"

// Names of the metrics. The values of the histograms are in microseconds.
const (
	acceptLatency = "accept_us" // of responses to submissions
	startLatency  = "start_us"  // from when the leader learned of a job to the start of a task
	roundLatency  = "round_us"  // of repair rounds
	doneLatency   = "done_us"   // from when the leader learned of a job to its end

	acceptedCount    = "accepted" // submissions
	rejectedCount    = "rejected" // submissions that were invalid or exceeded a limit
	unavailableCount = "put_off"  // submissions that were answered with a server error
	startsCount      = "starts"   // tasks started
	jobsDoneCount    = "jobs_done"
	movesCount       = "moves" // tasks moved by repair rounds

	violationsGauge    = "violations" // found by the last repair round
	waitingTasksGauge  = "waiting_tasks"
	machinesGauge      = "machines"
	allocationsGauge   = "bookings"
	refusedOffersGauge = "refused_offers" // combinations of machine type, zone and kind that the cloud recently refused
)

const (
	maxLatency         = 3600 * clock.Second
	significantFigures = 2
)

// Metrics collects the metrics of a controller. It is safe for concurrent use.
type Metrics struct {
	mu         sync.Mutex // guards all fields
	histograms map[string]*hdr.Histogram
	counts     map[string]int64
	gauges     map[string]int64
}

// New returns Metrics without any observations.
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
	// RecordValue fails only for values out of range; this one is clamped to the range.
	_ = histogram.RecordValue(min(max(1, int64(latency)), histogram.HighestTrackableValue()))
}

// ObserveSubmission records the latency and status of a response to a submission.
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
		m.counts[unavailableCount]++
	}
}

// ObserveTaskStart records the start of a task and the time since the leader learned of its job.
func (m *Metrics) ObserveTaskStart(latency clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(startLatency, latency)
	m.counts[startsCount]++
}

// ObserveJobDone records the end of a job and the time since the leader learned of it.
func (m *Metrics) ObserveJobDone(latency clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(doneLatency, latency)
	m.counts[jobsDoneCount]++
}

// ObserveRepairRound records the duration and the results of a repair round.
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

// SetFleet sets the numbers of machines, of allocations on them, and of combinations of machine type,
// zone and kind that the cloud recently refused.
func (m *Metrics) SetFleet(machines, allocations, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[machinesGauge] = int64(machines)
	m.gauges[allocationsGauge] = int64(allocations)
	m.gauges[refusedOffersGauge] = int64(refused)
}

// histogramSummary is the JSON form of a histogram. Its fields are in alphabetical order.
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

// snapshot returns the values of all metrics by name.
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

// Handler returns an HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.snapshot())
	})
	return r
}
