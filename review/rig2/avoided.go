package main

import "time"

// The case "avoided": a machine fails the tasks that it starts for some seconds. A job that fits only there
// fails there once, and is never tried there again.

func init() { cases["avoided"] = aCase{twoMachines, playAvoided} }

func playAvoided(c *cluster) (broken []string, err error) {
	if err := c.startAll(); err != nil {
		return nil, err
	}
	if err := c.startDesk(); err != nil {
		return nil, err
	}
	sick := c.cloud.inZone("korangi")
	if c.trouble {
		c.add("fault  %s fails every task that it starts", sick.UID)
		c.tracker.setSick(sick.UID, true)
	}
	c.tracker.runsFor(waitingJob, 2*time.Second)
	spec := zoneJob(sick.Zone)
	if err := c.submit(spec); err != nil {
		return nil, err
	}
	err = c.await(10*time.Second, "the first attempt of the job", func() bool {
		return c.tracker.ends(waitingJob+"/0") > 0 || c.tracker.isCompleted(waitingJob+"/0")
	})
	if err != nil {
		return nil, err
	}
	c.sleep(sickFor)
	c.tracker.setSick(sick.UID, false)
	c.add("fault  %s is healthy", sick.UID)
	return c.awaitStart(spec, sick)
}
