package rig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cedardoor/wire"
)

// Job returns a submitted job.
func (c *Cluster) Job(uid string) (wire.Spec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec, known := c.specs[uid]
	return spec, known
}

// RunTime returns how long a task runs.
func (c *Cluster) RunTime(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done[task] {
		return 0
	}
	return c.runTimes[jobOf(task)]
}

// Completed is called when a task has completed.
func (c *Cluster) Completed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[task] = true
}

// jobOf returns the job that a task belongs to.
func jobOf(task string) string {
	uid, _, _ := strings.Cut(task, "/")
	return uid
}

// taskStarted records that a task is on a machine from now on.
func (c *Cluster) taskStarted(machine, task string, attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Log.Add(machine, "%s attempt %d starts", task, attempt)
	go c.verifyStart(task, machine)
	c.on[task] = machine
	c.starts[task]++
}

// taskEnded records that a task is no longer on a machine.
func (c *Cluster) taskEnded(machine, task string, attempt uint64, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Log.Add(machine, "%s attempt %d ends: %s", task, attempt, cause)
	if c.on[task] == machine {
		delete(c.on, task)
	}
}

// GangRuns reports whether all tasks of a gang run.
func (c *Cluster) GangRuns(uid string) bool { return c.gangs.running(uid) }

// Doubles returns the tasks that started on one machine while on another.
func (c *Cluster) Doubles() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.doubles...)
}

// HasStarted reports whether a task of a job has ever started.
func (c *Cluster) HasStarted(uid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.starts {
		if jobOf(task) == uid {
			return true
		}
	}
	return false
}

// Running returns how many tasks of a job are on machines.
func (c *Cluster) Running(uid string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.on {
		if jobOf(task) == uid {
			n++
		}
	}
	return n
}

// mayHold reports whether a job allows a machine.
func mayHold(spec *wire.Spec, worker *Worker) bool {
	return (spec.Preemptible || !worker.Info.Preemptible) && (spec.Zone == "" || spec.Zone == worker.Info.Zone) &&
		(spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, worker.Info.Type))
}

// Room returns a machine that is up and has room for a task of a job, or an empty name.
func (c *Cluster) Room(spec *wire.Spec) string {
	for _, worker := range c.Cloud.Workers() {
		if mayHold(spec, worker) && worker.HasRoom(spec) {
			return worker.Info.UID
		}
	}
	return ""
}

// OverLimit returns the moments at which tasks of a team used more than its limit.
func (c *Cluster) OverLimit() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.overLimit...)
}

// verifyStart checks, right after the start of a task, that it is on no other machine and that its team
// is within its limit. It asks the machines: one that hangs beyond its lease has lost its tasks.
func (c *Cluster) verifyStart(task, machine string) {
	running := map[string][]string{}
	for _, worker := range c.Cloud.Workers() {
		running[worker.Info.UID] = worker.Tasks()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	team, used := c.specs[jobOf(task)].Team, 0.0
	for name, tasks := range running {
		for _, other := range tasks {
			if spec := c.specs[jobOf(other)]; spec.Team == team {
				used += spec.Cores
			}
			if other == task && name != machine {
				c.doubles = append(c.doubles, task)
				c.Log.Add("CHECK", "ran_twice: %s starts on %s while on %s", task, machine, name)
			}
		}
	}
	if limit := c.limitOf(team); limit > 0 && used > limit+1e-6 {
		c.overLimit = append(c.overLimit, fmt.Sprintf("quota: %s uses %v of %v when %s starts", team, used, limit, task))
		c.Log.Add("CHECK", "%s", c.overLimit[len(c.overLimit)-1])
	}
}

// limitOf returns a team's limit of cores, 0 if it has none.
func (c *Cluster) limitOf(team string) float64 {
	for _, t := range c.site.Facts["teams"].([]map[string]any) {
		if t["name"] == team {
			return t["cpus_max"].(float64)
		}
	}
	return 0
}

// On returns the tasks of a job that are on machines, and which.
func (c *Cluster) On(uid string) (on []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.on {
		if jobOf(task) == uid {
			on = append(on, task+" on "+machine)
		}
	}
	slices.Sort(on)
	return on
}
