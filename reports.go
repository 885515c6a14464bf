package cedardoor

import (
	"cedardoor/clock"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/recovery"
)

// newJobAge is how long a job counts as new: it may not have been part of any plan yet.
const newJobAge = 2 * clock.Second

// TeamReports returns each team's usage and waiting work. It returns false if this controller does
// not hold the leader's lease or has not loaded the records.
func (l *leader) TeamReports() ([]quota.TeamReport, bool) {
	if _, held := l.elector.HoldsLease(); !held {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil, false
	}
	waiting := l.waitingByTeam()
	names := l.quota.Teams()
	out := make([]quota.TeamReport, 0, len(names))
	for _, name := range names {
		r := l.quota.Usage(name).Report()
		if w := waiting[name]; w != nil {
			r.Waiting = *w
		}
		out = append(out, r)
	}
	return out, true
}

// waitingByTeam counts each team's waiting tasks by reason. The caller holds mu.
func (l *leader) waitingByTeam() map[string]*quota.WaitingReport {
	now := l.clock.Now()
	out := map[string]*quota.WaitingReport{}
	for job := range l.jobs.Waiting() {
		ready, backingOff := job.CountWaiting(now)
		if job.Cancelled || ready+backingOff == 0 {
			continue
		}
		w := out[job.Spec.Team]
		if w == nil {
			w = &quota.WaitingReport{}
			out[job.Spec.Team] = w
		}
		w.Jobs++
		if job.Plan.Entitled {
			w.WithinGuarantee += ready + backingOff
		}
		w.Add(l.waitReason(job, now), ready)
		w.Add(quota.ReasonRetry, backingOff)
	}
	return out
}

// waitReason returns why a job's waiting tasks that are not backing off wait. The caller holds mu.
func (l *leader) waitReason(job *jobs.Job, now clock.Micros) quota.Reason {
	switch {
	case job.CancellationPending:
		return quota.ReasonCancelling
	case !l.quota.Fits(job.Spec.Team, job.TaskAmount()):
		return quota.ReasonLimit
	case job.Failures.OnTrial():
		return quota.ReasonRetry
	case now-job.SeenAt < newJobAge:
		return quota.ReasonNew
	}
	return quota.ReasonCapacity
}

// RecoveryReport returns the progress of the recovery, for operators. It returns false if this
// controller does not hold the leader's lease.
func (l *leader) RecoveryReport() (report recovery.Report, known bool) {
	if _, held := l.elector.HoldsLease(); !held {
		return report, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconciler.Report(l.clock.Now()), true
}
