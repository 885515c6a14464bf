package cedardoor

import (
	"slices"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// randomSavingSchedule returns the randomFurtherSchedule of a seed with few machines, on which urgent
// jobs keep stopping the tasks of others. These tasks may take longer to save than a cancelled task
// may stay on its machine, and half of their jobs are cancelled.
func randomSavingSchedule(seed uint64) faultSchedule {
	schedule := randomFurtherSchedule(seed)
	random := newRandomSource(seed, 23)
	schedule.maxMachines = 2 + random.IntN(3)
	// If most of so few machines fail all tasks, every job looks faulty and is tried with one task at a time.
	schedule.faults = slices.DeleteFunc(schedule.faults, func(fault scheduledFault) bool { return fault.kind == machineFailsTasks })
	for i := range schedule.submissions {
		submission := &schedule.submissions[i]
		if submission.spec.Kind != wire.KindBatch {
			continue
		}
		submission.makeSaving(random)
		if submission.cancelAfter == 0 && random.IntN(2) == 0 {
			submission.cancelAfter, submission.cancelOnDone, submission.cancelOnFault = random.duration(5, schedule.duration.Seconds()), false, ""
		}
	}
	for at := random.duration(5, 15); at < schedule.duration; at += random.duration(4, 12) {
		schedule.submissions = append(schedule.submissions, newSubmission(len(schedule.submissions)+1, at.Seconds(), 3+3*random.Float64(), func(spec *wire.Spec) {
			spec.Priority, spec.Tasks, spec.Cores = "critical", 1+random.IntN(4), float64(1+random.IntN(3))
		}))
	}
	schedule.setup = func(sim *simulation) { sim.schedule.onEvent = sim.checkTimeToSave }
	return schedule
}

// makeSaving makes a job one of low priority whose tasks run and save for long.
func (s *scheduledSubmission) makeSaving(random randomSource) {
	s.alwaysFails, s.runTime = false, random.duration(10, 40)
	s.spec.Priority, s.spec.ExpectedS = []string{"low", "standard"}[random.IntN(2)], s.runTime.Seconds()
	s.spec.CheckpointIntervalS = 3
	s.spec.CheckpointGraceS = random.duration(0.5, 3*simulatedCancelLimit.Seconds()).Seconds()
}

// checkTimeToSave records a violation if a command ends a task that could save and has not, unless
// the user of its job has asked to cancel it.
func (s *simulation) checkTimeToSave(event standin.Event) {
	if event.Kind != standin.EventEnded || event.Cause != wire.CauseStopped || event.Status == wire.TaskFetching {
		return
	}
	uid := jobOf(event.Task)
	spec, _ := s.Job(uid)
	s.mu.Lock()
	cancelRequested := s.observed.views[uid].cancelRequested
	s.mu.Unlock()
	s.logf("%s attempt %d stopped on %s while %s, saved %t", event.Task, event.Attempt, event.Machine, event.Status, event.Saved)
	if spec.CheckpointIntervalS > 0 && !event.Saved && !cancelRequested {
		s.recordViolation("not_saved", "%s attempt %d on %s was stopped without its time to save", event.Task, event.Attempt, event.Machine)
	}
}
