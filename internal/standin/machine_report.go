package standin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Timing of the worker's reports.
const (
	// responseTimeout is how long a worker waits for the response to a report.
	responseTimeout = 4 * time.Second
	// changeInterval is the minimum time between a report and the report of a change.
	changeInterval = 500 * time.Millisecond
)

// expireLease drops all tasks and begins a new incarnation if the lease has expired. The
// caller holds mu.
func (m *Machine) expireLease(now time.Time) {
	if end := m.leaseStart.Add(m.LeaseTime); now.After(end) {
		m.incarnation++
		m.dropTasks(CauseLeaseExpired)
		m.leaseStart = now
		m.reports.changed = true
	}
}

// buildReport builds the current report. The caller holds mu.
func (m *Machine) buildReport() wire.Heartbeat {
	m.sequence++
	host := m.Info
	report := wire.Heartbeat{Machine: host.UID, Endpoint: host.Endpoint, MachineType: host.Type, Zone: host.Zone, Preemptible: host.Preemptible,
		Incarnation: m.incarnation, Sequence: m.sequence, Token: m.token, Tasks: []wire.TaskReport{}}
	if !m.condition.reclaimedAt.IsZero() {
		left := max(0, time.Until(m.condition.reclaimedAt).Seconds())
		report.WarningS = &left
	}
	for _, t := range m.tasks {
		report.Tasks = append(report.Tasks, t.TaskReport)
	}
	return report
}

// sendReport sends a report and handles the response. The caller holds mu.
func (m *Machine) sendReport(now time.Time) {
	report := m.buildReport()
	m.reports.inFlight, m.reports.changed = true, false
	m.reports.earliestChange = now.Add(changeInterval)
	// The interval varies by up to a quarter, derived from the sequence to be reproducible.
	m.reports.next = now.Add(m.ReportInterval * time.Duration(75+(m.sequence*37)%50) / 100)
	controller, restarts := m.Controllers[m.reports.controller], m.restartCount
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, responseTimeout)
		defer cancel()
		status, body, err := m.SendHeartbeat(ctx, m, controller, report)
		if err != nil {
			<-ctx.Done() // lost: the worker waits until the timeout
		}
		m.waitWhileHung()
		m.mu.Lock()
		defer m.mu.Unlock()
		defer m.wakeUp()
		if restarts != m.restartCount {
			return // the process that reported has ended
		}
		m.reports.inFlight = false
		if time.Since(now) > responseTimeout {
			status = 0
		}
		m.expireLease(time.Now())
		m.handleResponse(report, now, status, body)
	}()
}

// handleResponse handles the response to a report. If its status is not 200, the worker turns
// to the leader that it names, or else to the next controller. The caller holds mu.
func (m *Machine) handleResponse(report wire.Heartbeat, sent time.Time, status int, body []byte) {
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if msgpack.Unmarshal(body, &response) != nil || report.Incarnation != m.incarnation || response.Token < m.token {
			return // the worker stays with this controller, and its lease is not renewed
		}
		if sent.After(m.leaseStart) {
			m.leaseStart = sent
		}
		m.observeToken(response.Token)
		m.markReported(report, sent)
		m.execute(response.Commands)
		return
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		_ = msgpack.Unmarshal(body, &redirect)
		if i := slices.Index(m.Controllers, redirect.Leader); i >= 0 && i != m.reports.controller {
			m.reports.controller = i
			m.reports.next = time.Now().Add(time.Duration(m.sequence*89%500) * time.Millisecond)
			return
		}
	}
	m.reports.controller = (m.reports.controller + 1) % len(m.Controllers)
	m.reports.next = time.Now().Add(time.Second)
}

// observeToken keeps the highest fencing token. A higher one is reported as a change, at most
// once per half of a lease. The caller holds mu.
func (m *Machine) observeToken(token uint64) {
	if token > m.token {
		m.token = token
		if time.Since(m.reports.tokenSeenAt) >= m.LeaseTime/2 {
			m.reports.tokenSeenAt, m.reports.changed = time.Now(), true
		}
	}
}

// maxRecordTime is how long a controller may take to record a reported result.
const maxRecordTime = 5 * time.Second

// dropTasks removes all tasks at once, without a report. The result of an ended task is lost
// if no answered report has carried it, or if the first one that did was sent less than
// maxRecordTime before the last answered report: the controller may have crashed before it
// recorded the result. The caller holds mu.
func (m *Machine) dropTasks(cause wire.Cause) {
	for _, t := range m.tasks {
		lost := t.reportedAt.IsZero() || m.leaseStart.Sub(t.reportedAt) < maxRecordTime
		if t.live() || lost && cause != CauseMachineRemoved { // results on a returned machine have been recorded
			m.emitEnded(t, cause)
		}
	}
	m.tasks = nil
}

// markReported records that the ends of tasks in an answered report have been reported. The
// caller holds mu.
func (m *Machine) markReported(report wire.Heartbeat, sent time.Time) {
	for _, reported := range report.Tasks {
		if reported.Status != wire.TaskEnded {
			continue
		}
		for _, t := range m.tasks {
			if t.reportedAt.IsZero() && t.Task == reported.Task && t.Attempt == reported.Attempt {
				t.reportedAt = sent
			}
		}
	}
}
