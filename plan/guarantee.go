package plan

import (
	"sort"

	"cedardoor/quota"
)

// launchGuaranteed places the tasks that fit into what remains of their teams' guarantees, whatever
// their priority: they need not wait for other teams, and otherwise the tasks that were preempted
// for them could be placed again before them. Entitled jobs, those that fit into the guarantee
// together with the team's earlier jobs, come first. It returns the other waiting tasks.
func (p *planner) launchGuaranteed() (rest []*Waiting) {
	waiting := make([]*Waiting, 0, len(p.Waiting))
	for i := range p.Waiting {
		waiting = append(waiting, &p.Waiting[i])
	}
	if !p.Quota.HasGuarantees() {
		return waiting
	}
	sort.SliceStable(waiting, func(i, j int) bool { return entitledLaunchesBefore(waiting[i], waiting[j]) })
	p.withinGuarantee = true
	defer func() { p.withinGuarantee = false }()
	var failed []*Job
	for _, w := range waiting {
		guaranteed := p.guaranteedTasks(w)
		if guaranteed > 0 {
			p.launchJob(w.first(guaranteed), &failed)
		}
		if guaranteed < len(w.Indexes) {
			rest = append(rest, w.after(guaranteed))
		}
	}
	return rest
}

// guaranteedTasks returns how many of the waiting tasks fit into what remains of their team's
// guarantee. For a job that must start whole it is all of them or none.
func (p *planner) guaranteedTasks(w *Waiting) int {
	job := w.Job
	remaining := p.draft.RemainingGuarantee(job.Team)
	if remaining == (quota.Amount{}) {
		return 0
	}
	tasks := remaining.Tasks(job.amount(), len(w.Indexes))
	if tasks < len(w.Indexes) && (job.Gang || job.zoneUndecided()) {
		return 0
	}
	return tasks
}
