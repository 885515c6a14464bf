package plan

// launchesBefore reports whether a is launched before b: by priority, then replacements,
// starved jobs, entitled jobs, deadline slack and order of acceptance.
func launchesBefore(a, b *Waiting) bool {
	job, other := a.Job, b.Job
	if job.Priority != other.Priority {
		return job.Priority > other.Priority
	}
	if a.Replacement != b.Replacement {
		return a.Replacement
	}
	if job.Starved != other.Starved {
		return job.Starved
	}
	if job.Entitled != other.Entitled {
		return job.Entitled
	}
	if job.Slack != other.Slack {
		return job.Slack < other.Slack
	}
	if job.Order != other.Order {
		return job.Order < other.Order
	}
	return job.UID < other.UID
}

// entitledLaunchesBefore is like launchesBefore with all entitled jobs first.
func entitledLaunchesBefore(a, b *Waiting) bool {
	if a.Job.Entitled != b.Job.Entitled {
		return a.Job.Entitled
	}
	return launchesBefore(a, b)
}

// splitServices separates services from other jobs. Services are launched before the repair
// so that the replacement of a lost replica never waits behind a move; the others after it.
func splitServices(waiting []*Waiting) (services, others []*Waiting) {
	for _, w := range waiting {
		if w.Job.Service {
			services = append(services, w)
		} else {
			others = append(others, w)
		}
	}
	return services, others
}

// dominated reports whether a job cannot be placed because another job of its team failed
// to be placed that needs no more resources, has at least its priority and no fewer
// machines to choose from.
func dominated(job *Job, failed []*Job) bool {
	for _, f := range failed {
		if f.Priority >= job.Priority && job.Cores >= f.Cores && job.RAM >= f.RAM && job.Accelerators >= f.Accelerators &&
			f.Zone == "" && f.MachineTypes == nil && (f.Preemptible || !job.Preemptible) && f.Team == job.Team {
			return true
		}
	}
	return false
}
