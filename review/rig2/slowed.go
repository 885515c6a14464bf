package main

import "time"

// The case "slowed": a machine runs its tasks slower for some seconds. It holds a replica that has no other
// place, so it is neither returned nor used again, and a job that fits only there waits.

const (
	slowFactor = 2.0
	slowArrays = 3
)

func init() { cases["slowed"] = aCase{twoMachines, playSlowed} }

func playSlowed(c *cluster) (broken []string, err error) {
	if err := c.startAll(); err != nil {
		return nil, err
	}
	if err := c.startDesk(); err != nil {
		return nil, err
	}
	slow := c.cloud.inZone("korangi")
	if c.trouble {
		c.add("fault  %s runs its tasks slower, by a factor of %.1f", slow.UID, slowFactor)
		c.tracker.setSlow(slow.UID, slowFactor)
	}
	// Arrays that fit on both machines.
	for n := range slowArrays {
		if err := c.runArray(21+n, 1500*time.Millisecond); err != nil {
			return nil, err
		}
	}
	c.tracker.setSlow(slow.UID, 0)
	c.add("fault  %s is as fast as others", slow.UID)
	c.tracker.runsFor(waitingJob, 2*time.Second)
	spec := zoneJob(slow.Zone)
	if err := c.submit(spec); err != nil {
		return nil, err
	}
	return c.awaitStart(spec, slow)
}
