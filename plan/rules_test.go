package plan

import (
	"testing"

	"cedardoor/quota"
)

func TestRules(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(job *Job, machine *Machine, s *Snapshot)
		want   bool
	}{
		{"no restriction", func(*Job, *Machine, *Snapshot) {}, true},
		{"quarantined", func(_ *Job, machine *Machine, _ *Snapshot) { machine.QuarantineReason = "failing" }, false},
		{"cordoned", func(_ *Job, machine *Machine, _ *Snapshot) { machine.Cordoned = true }, false},
		{"unresponsive", func(_ *Job, machine *Machine, _ *Snapshot) { machine.Usable = false }, false},
		{"type", func(job *Job, _ *Machine, _ *Snapshot) { job.MachineTypes = []string{"z"} }, false},
		{"no allowed type", func(job *Job, _ *Machine, _ *Snapshot) { job.MachineTypes = []string{} }, false},
		{"zone", func(job *Job, _ *Machine, _ *Snapshot) { job.Zone = "y" }, false},
		{"spot", func(job *Job, machine *Machine, _ *Snapshot) { job.Preemptible, machine.Preemptible = false, true }, false},
		{"zone cap reached", func(job *Job, _ *Machine, _ *Snapshot) { job.Spread, job.Tasks, job.Zones["x"] = true, 3, 2 }, false},
		{"zone cap not reached", func(job *Job, _ *Machine, _ *Snapshot) { job.Spread, job.Tasks, job.Zones["x"] = true, 4, 1 }, true},
		{"same zone, tasks in another", func(job *Job, _ *Machine, _ *Snapshot) { job.SameZone, job.Zones["y"] = true, 1 }, false},
		{"same zone, tasks in this one", func(job *Job, _ *Machine, _ *Snapshot) { job.SameZone, job.Zones["x"] = true, 1 }, true},
		{"limit", func(_ *Job, _ *Machine, s *Snapshot) {
			s.Quota = limitedLedger(quota.Limits{Limit: quota.NewAmount(3, 0)}, 2, 0)
		}, false},
		{"accelerator limit", func(job *Job, machine *Machine, s *Snapshot) {
			job.Accelerators, machine.Free.Accelerators = 1, 4
			s.Quota = limitedLedger(quota.Limits{Limit: quota.NewAmount(0, 2)}, 0, 2)
		}, false},
		{"memory", func(job *Job, _ *Machine, _ *Snapshot) { job.RAM = 33 }, false},
	} {
		job, machine := newJob("j-1", 1, 2, 4), newMachine("a", "x", 8, 32)
		s := &Snapshot{Machines: []*Machine{machine}, Quota: limitedLedger(quota.Limits{}, 0, 0)}
		tt.change(job, machine, s)
		s.Waiting = []Waiting{{Job: job, Indexes: indexes(1)}}
		if got := len(Make(s).Launches) == 1; got != tt.want {
			t.Errorf("%s: placed %t, want %t", tt.name, got, tt.want)
		}
	}
}
