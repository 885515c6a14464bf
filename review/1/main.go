// Command 1 is the first case of the review: a job is cancelled while urgent jobs come and some of its tasks save
// because they make room for these.
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
	runTime = 10 * time.Minute
	length  = 75 * time.Second
	step    = 200 * time.Millisecond
)

func main() {
	os.Exit(rig.Run(rig.Karachi(), length, play))
}

// play lets a job fill the machines, lets urgent jobs come, cancels the job, and watches how long its tasks stay.
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
		c.Log.Add("case", "urgent jobs come several times as often")
		for i := range 4 {
			urgent := rig.Batch(fmt.Sprintf("j-%06d", 410+i), "diet-recheck", "nutrition", "high", 6, 4, 8.9)
			c.Users.Submit(ctx, urgent, 20*time.Second)
		}
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
