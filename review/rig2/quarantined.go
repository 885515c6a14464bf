package main

import "time"

// The case "quarantined": a machine fails the tasks that it starts for some seconds. It holds a replica that
// has no other place, so it is neither returned nor used again, and a job that fits only there waits.

func init() { cases["quarantined"] = aCase{twoMachines, playQuarantined} }

func playQuarantined(c *cluster) (broken []string, err error) {
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
	time.AfterFunc(sickFor, func() {
		c.tracker.setSick(sick.UID, false)
		c.add("fault  %s is healthy", sick.UID)
	})
	// An array that fits on both machines.
	if err := c.runArray(12, 2*time.Second); err != nil {
		return nil, err
	}
	c.sleep(sickFor)
	c.tracker.runsFor(waitingJob, 2*time.Second)
	spec := zoneJob(sick.Zone)
	if err := c.submit(spec); err != nil {
		return nil, err
	}
	return c.awaitStart(spec, sick)
}
