// Command 1 is the first case of the review: an urgent array comes, tasks of another job save because they make room
// for it, and that job is cancelled.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"cedardoor/review/rig"
	"cedardoor/wire"
)

const (
	uid     = "j-000400"
	tasks   = 20               // of 8 CPUs: more than the eight machines of the start hold
	saveS   = 60               // the time that a task needs to save
	cancelS = 43 * time.Second // cancel_s of the site

	urgentTasks = 23 // "arrays of around 5, up to 23 tasks"
	runTime     = 10 * time.Minute
	length      = 75 * time.Second
	step        = 200 * time.Millisecond
)

func main() {
	os.Exit(rig.Run(rig.Karachi(), length, play))
}

// play lets a job fill the machines, lets an urgent array come, cancels the job, and watches how long its tasks stay.
func play(ctx context.Context, c *rig.Cluster, trouble bool) (broken []string, err error) {
	time.Sleep(time.Second)
	spec := rig.Batch(uid, "kibble-match", "nutrition", "standard", tasks, 8, 21)
	spec.ExpectedS, spec.CheckpointIntervalS, spec.CheckpointGraceS = runTime.Seconds(), 30, saveS
	c.Users.Submit(ctx, spec, runTime)
	for end := time.Now().Add(10 * time.Second); c.Room(&spec) != "" || c.Running(uid) == 0; time.Sleep(step) {
		if time.Now().After(end) {
			return nil, errors.New("the job does not fill the machines")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		c.Log.Add("case", "an urgent array comes")
		urgent := rig.Batch("j-000410", "diet-recheck", "nutrition", "high", urgentTasks, 4, 8.9)
		c.Users.Submit(ctx, urgent, 40*time.Second)
	}
	time.Sleep(3 * time.Second)
	c.Users.Cancel(ctx, uid)
	told := c.Users.Job(uid)
	if told.Final != wire.JobCancelled {
		return nil, errors.New("the job was not cancelled")
	}
	for time.Since(told.FinalAt) < cancelS+5*time.Second && ctx.Err() == nil {
		time.Sleep(step)
		since := time.Since(told.FinalAt)
		if on := c.On(uid); since > cancelS && len(on) > 0 {
			broken = []string{fmt.Sprintf("ran_cancelled: %.1f s after the user was told that %s is cancelled, %d of its tasks are on machines: %v", since.Seconds(), uid, len(on), on)}
		}
	}
	return broken, nil
}
