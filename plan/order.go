package plan

// launchesBefore is the order of launches: lost replicas of the most important first, then
// priority, guarantee, deadline slack and age.
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

// entitledLaunchesBefore is the same with all that is within its team's guarantee first.
func entitledLaunchesBefore(a, b *Waiting) bool {
	if a.Job.Entitled != b.Job.Entitled {
		return a.Job.Entitled
	}
	return launchesBefore(a, b)
}

// splitServices divides what waits into services, which go before the repair so that
// replacing a lost replica never waits behind a move, and the rest, which goes after it.
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

// dominated tells whether a job asks for at least what another, with no fewer
// choices, has just failed to get.
func dominated(job *Job, failed []*Job) bool {
	for _, f := range failed {
		if f.Priority >= job.Priority && job.Cores >= f.Cores && job.RAM >= f.RAM && job.Accelerators >= f.Accelerators &&
			f.Zone == "" && f.MachineTypes == nil && (f.Preemptible || !job.Preemptible) && f.Team == job.Team {
			return true
		}
	}
	return false
}
