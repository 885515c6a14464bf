package rig

import (
	"sync"
	"time"

	"cedardoor/wire"
)

// gangs is what the tasks of gangs know of each other: they find each other by their attempt.
type gangs struct {
	wait, peer time.Duration // gang_wait_s and gang_peer_s

	mu       sync.Mutex // guards attempts
	attempts map[gangAttempt]*gang
}

// gangAttempt identifies one attempt of a gang.
type gangAttempt struct {
	job     string
	attempt uint64
}

// gang is one attempt of a gang.
type gang struct {
	waiting map[string]time.Time // since when tasks with their image wait for the others, by task
	runs    bool
	due     time.Time // when all tasks are done
	lostAt  time.Time // when a task of the running gang disappeared
}

func newGangs(wait, peer time.Duration) *gangs {
	return &gangs{wait: wait, peer: peer, attempts: map[gangAttempt]*gang{}}
}

// of returns the gang of a task. The caller holds mu.
func (g *gangs) of(t *workerTask) *gang {
	key := gangAttempt{jobOf(t.Task), t.Attempt}
	if g.attempts[key] == nil {
		g.attempts[key] = &gang{waiting: map[string]time.Time{}}
	}
	return g.attempts[key]
}

// join notes that a task has its image and waits. The gang starts with the last one.
func (g *gangs) join(t *workerTask, now time.Time, runTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.of(t)
	attempt.waiting[t.Task] = now
	if len(attempt.waiting) == t.spec.Tasks && !attempt.runs {
		attempt.runs, attempt.due = true, now.Add(runTime)
	}
}

// leave notes that a task of a gang has ended.
func (g *gangs) leave(t *workerTask, now time.Time, cause wire.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.of(t)
	delete(attempt.waiting, t.Task)
	if attempt.runs && cause != wire.CauseDone && attempt.lostAt.IsZero() {
		attempt.lostAt = now
	}
}

// look returns the status of a task of a gang, and the cause of its end if it has ended.
func (g *gangs) look(t *workerTask, now time.Time) (status wire.TaskStatus, ended wire.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.of(t)
	switch {
	case !attempt.lostAt.IsZero():
		if now.Sub(attempt.lostAt) > g.peer/2 {
			return wire.TaskRunning, wire.CausePeers
		}
	case attempt.runs && !now.Before(attempt.due):
		return wire.TaskRunning, wire.CauseDone
	case !attempt.runs && now.Sub(attempt.waiting[t.Task]) > g.wait:
		return wire.TaskGathering, wire.CauseAlone
	}
	if attempt.runs {
		return wire.TaskRunning, ""
	}
	return wire.TaskGathering, ""
}

// running reports whether an attempt of a job's gang runs whole.
func (g *gangs) running(job string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, attempt := range g.attempts {
		if key.job == job && attempt.runs && attempt.lostAt.IsZero() {
			return true
		}
	}
	return false
}
