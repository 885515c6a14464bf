package main

import (
	"fmt"
	"net/http"
	"time"

	"cedardoor/config"
	"cedardoor/wire"
)

// What the cases have in common in which a job waits for ever for a machine that has room: two machines, the
// only ones that the cloud has, one of which is in trouble for some seconds.

const (
	deskJob    = "j-000011"
	waitingJob = "j-000013"
	sickFor    = 8 * time.Second
	// maxWait is how long a job may wait while a machine that fits has room, once the troubles are over.
	maxWait = 90 * time.Second
)

// twoMachines are the options of a deployment with two machines, in two zones.
func twoMachines() options {
	return options{
		teams: []config.Team{{Name: "nutrition"}, {Name: "storefront"}, {Name: "warehouse"}},
		types: []wire.MachineType{
			{SKU: "chapati", Cores: 8, RAM: 32, CacheGB: 70, FetchGBs: 0.3, HourlyPrice: 0.48, SpotPrice: 0.2, BootS: 2, Zones: zones},
		},
		capacity: map[string]int{"chapati/korangi": 1, "chapati/clifton": 1},
		state:    config.State{RPS: 80, WriteRPS: 30, ValueKB: 32, TxnOps: 24},
		memMB:    125,
	}
}

// startDesk starts a service of two replicas that are spread over zones: one in each zone that has a machine.
func (c *cluster) startDesk() error {
	if err := c.submit(job(11, func(s *wire.Spec) {
		s.Class, s.Team, s.Kind, s.Priority, s.Tasks, s.Cores, s.RAM, s.Spread, s.ExpectedS = "order-desk", "nutrition", wire.KindService, "critical", 2, 2, 6.3, true, 0
	})); err != nil {
		return err
	}
	return c.await(20*time.Second, "both replicas", func() bool {
		return c.tracker.isRunning(deskJob+"/0") && c.tracker.isRunning(deskJob+"/1")
	})
}

// zoneJob returns a job of one task that fits only on the machine of a zone.
func zoneJob(zone string) wire.Spec {
	return job(13, func(s *wire.Spec) { s.Priority, s.Cores, s.RAM, s.Zone = "high", 4, 8.9, zone })
}

// awaitStart waits for the start of an accepted job that fits only on a machine, which has room for it.
func (c *cluster) awaitStart(spec wire.Spec, machine wire.Machine) (broken []string, err error) {
	for since := time.Now(); time.Since(since) < maxWait; c.sleep(5 * time.Second) {
		if c.tracker.starts(waitingJob+"/0") > 0 {
			return nil, nil
		}
		if c.ctx.Err() != nil {
			return nil, c.ctx.Err()
		}
		host := c.cloud.inZone(machine.Zone)
		if host.UID != machine.UID || !c.tracker.hasRoom(machine.UID, &spec) {
			return nil, fmt.Errorf("machine %s is gone or has no room", machine.UID)
		}
		c.userRequest(http.MethodGet, c.names[0], wire.PathJobs+"/"+waitingJob, nil, 2*time.Second)
	}
	if c.tracker.starts(waitingJob+"/0") > 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("left waiting: %s waits for %.0f s, while %s in %s is healthy and has room for it, and no team has a limit",
		waitingJob, maxWait.Seconds(), machine.UID, machine.Zone)}, nil
}

// runArray submits an array of short tasks, and waits for its end.
func (c *cluster) runArray(n int, runTime time.Duration) error {
	const tasks = 10
	spec := job(n, func(s *wire.Spec) { s.Tasks, s.Cores, s.RAM, s.ExpectedS = tasks, 1, 2, runTime.Seconds() })
	c.tracker.runsFor(spec.UID, runTime)
	if err := c.submit(spec); err != nil {
		return err
	}
	return c.await(20*time.Second, "the end of an array", func() bool {
		for i := range tasks {
			if !c.tracker.isCompleted(fmt.Sprintf("%s/%d", spec.UID, i)) {
				return false
			}
		}
		return true
	})
}
