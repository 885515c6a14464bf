package main

import (
	"slices"
	"time"

	"cedardoor/config"
	"cedardoor/wire"
)

// The case "preempted": a task that was recorded but not yet started is preempted, its team's quota goes
// to another job of the team, and the leader crashes before the preemption is on record.

const (
	teamLimit  = 16.0 // cores of team warehouse
	lowJob     = "j-000001"
	limitedJob = "j-000002"
	urgentJob  = "j-000003"
)

func init() { cases["preempted"] = aCase{preemptedOptions, playPreempted} }

func preemptedOptions() options {
	return options{
		teams: []config.Team{{Name: "nutrition"}, {Name: "storefront"}, {Name: "warehouse", CPUsMax: teamLimit}},
		types: []wire.MachineType{
			{SKU: "chapati", Cores: 8, RAM: 32, CacheGB: 70, FetchGBs: 0.3, HourlyPrice: 0.48, SpotPrice: 0.2, BootS: 2, Zones: zones},
			{SKU: "biryani", Cores: 16, RAM: 64, CacheGB: 60, FetchGBs: 0.5, HourlyPrice: 0.92, SpotPrice: 0.41, BootS: 2, Zones: zones},
		},
		capacity: map[string]int{"chapati/clifton": 1, "biryani/korangi": 1},
		state:    config.State{RPS: 80, WriteRPS: 30, ValueKB: 32, TxnOps: 24},
		memMB:    125,
	}
}

func playPreempted(c *cluster) (broken []string, err error) {
	if err := c.startAll(); err != nil {
		return nil, err
	}
	c.tracker.limits["warehouse"] = teamLimit
	if err := c.warmUp(); err != nil {
		return nil, err
	}
	c.tracker.runsFor(lowJob, 30*time.Second)
	c.tracker.runsFor(urgentJob, 2*time.Second)
	recorded := make(chan struct{}, 1)
	c.onCommit = func(_ string, txn *wire.Txn) {
		if slices.ContainsFunc(txn.Operations, func(o wire.Operation) bool { return o.Set == "p/"+lowJob+"/00000" }) {
			select {
			case recorded <- struct{}{}:
			default:
			}
		}
	}
	// The low job takes the whole limit. It is recorded, and starts with its machine's next report.
	if err := c.submit(job(1, func(s *wire.Spec) { s.Priority, s.Tasks, s.MachineTypes = "low", 2, []string{"biryani"} })); err != nil {
		return nil, err
	}
	select {
	case <-recorded:
	case <-c.ctx.Done():
		return nil, c.ctx.Err()
	}
	// Another job of the team waits for the limit, and an urgent one of another team for the machine.
	if err := c.submit(job(2, func(s *wire.Spec) { s.Priority, s.Kind, s.MachineTypes = "high", wire.KindService, []string{"chapati"} })); err != nil {
		return nil, err
	}
	if err := c.submit(job(3, func(s *wire.Spec) {
		s.Team, s.Priority, s.Cores, s.Tasks, s.MachineTypes = "storefront", "high", 16, 1, []string{"biryani"}
	})); err != nil {
		return nil, err
	}
	err = c.await(10*time.Second, "the start of the urgent job and of the team's other job", func() bool {
		return c.tracker.isRunning(limitedJob+"/0") && c.tracker.starts(urgentJob+"/0") > 0
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if c.trouble {
		c.crashLeader()
	}
	c.sleep(25 * time.Second)
	return c.tracker.broken("quota"), nil
}

// warmUp has the cloud's two machines rented by two short jobs, and waits until they are up and free.
func (c *cluster) warmUp() error {
	warm := []wire.Spec{
		job(101, func(s *wire.Spec) { s.Team, s.Tasks, s.MachineTypes = "storefront", 2, []string{"biryani"} }),
		job(102, func(s *wire.Spec) { s.Team, s.Tasks, s.MachineTypes = "storefront", 2, []string{"chapati"} }),
	}
	for _, spec := range warm {
		c.tracker.runsFor(spec.UID, time.Second)
		if err := c.submit(spec); err != nil {
			return err
		}
	}
	err := c.await(40*time.Second, "two machines that are up and free", func() bool {
		return len(c.cloud.booted("biryani")) == 1 && len(c.cloud.booted("chapati")) == 1 &&
			c.tracker.isCompleted("j-000101/1") && c.tracker.isCompleted("j-000102/1")
	})
	if err != nil {
		return err
	}
	c.sleep(3 * time.Second)
	return nil
}
