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
	// changeInterval is how soon after a report a change may be reported.
	changeInterval = 500 * time.Millisecond
)

// expireLease begins a new incarnation when the lease has expired. The caller holds mu.
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

// sendReport sends a report and handles the response to it. The caller holds mu.
func (m *Machine) sendReport(now time.Time) {
	report := m.buildReport()
	m.reports.inFlight, m.reports.changed = true, false
	m.reports.earliestChange = now.Add(changeInterval)
	// Up to a quarter more or less, derived from the sequence to be reproducible.
	m.reports.next = now.Add(m.ReportInterval * time.Duration(75+(m.sequence*37)%50) / 100)
	controller, process := m.Controllers[m.reports.controller], m.processCount
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, responseTimeout)
		defer cancel()
		status, body, err := m.SendHeartbeat(ctx, m, controller, report)
		if err != nil {
			<-ctx.Done() // lost: there is no response to wait for
		}
		m.waitWhileHung()
		m.mu.Lock()
		defer m.mu.Unlock()
		defer m.wakeUp()
		if process != m.processCount {
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

// handleResponse handles the response to a report. Without a usable one the worker
// turns to another controller. The caller holds mu.
func (m *Machine) handleResponse(report wire.Heartbeat, sent time.Time, status int, body []byte) {
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if msgpack.Unmarshal(body, &response) != nil || report.Incarnation != m.incarnation || response.Token < m.token {
			return // the worker stays with this controller while its lease runs out
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

// observeToken keeps the highest fencing token. A higher one is reported as a change,
// at most once in half a lease. The caller holds mu.
func (m *Machine) observeToken(token uint64) {
	if token > m.token {
		m.token = token
		if time.Since(m.reports.tokenSeenAt) >= m.LeaseTime/2 {
			m.reports.tokenSeenAt, m.reports.changed = time.Now(), true
		}
	}
}

// maxRecordTime is how long a controller may take to record a result that was reported to it.
const maxRecordTime = 5 * time.Second

// dropTasks ends all tasks at once, without a report. Results are lost with them that no report with a
// response has carried, or only one right before the last response: the controller may have ended
// before it recorded them. The caller holds mu.
func (m *Machine) dropTasks(cause wire.Cause) {
	for _, t := range m.tasks {
		lost := t.reportedAt.IsZero() || m.leaseStart.Sub(t.reportedAt) < maxRecordTime
		if t.live() || lost && cause != CauseMachineRemoved { // results on a returned machine have been recorded
			m.emitTaskEvent(EventEnded, t, cause)
		}
	}
	m.tasks = nil
}

// markReported notes that the ends in a report with a response have been reported. The caller holds mu.
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
