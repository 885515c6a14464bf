package config

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"cedardoor/clock"
)

// Minimum limits of the state service.
const (
	MinValueKB = 1 // size of the largest record that can't be divided: a job's own, with short names
	MinTxnOps  = 3 // operations of the transaction that finishes a job
)

// Minimum resource limits with which a controller can run at all.
const (
	MinSockets  = 48
	MinMemoryMB = 12
)

// CheckCompatible checks the constraints that span both files. If a job is cancelled while its leader
// is isolated, its tasks stop only when their workers' leases expire. That must happen within the time
// limit for stopping cancelled jobs.
func (p *Platform) CheckCompatible(o *Operator) error {
	if unsupervisedS := p.maxUnsupervisedS(o); unsupervisedS >= p.Facts.Workers.CancelS {
		return fmt.Errorf("facts.workers.cancel_s: %v s does not exceed the sum of /lead/ttl_s, facts.workers.lease_s and clock drift (%.3f s)", p.Facts.Workers.CancelS, unsupervisedS)
	}
	return nil
}

// maxUnsupervisedS returns how many seconds a task may keep running after its leader became isolated:
// the leader responds to heartbeats until its own lease expires, and each response renews the
// worker's lease.
func (p *Platform) maxUnsupervisedS(o *Operator) float64 {
	return (o.Lead.TTLs + p.Facts.Workers.LeaseS) * (1 + clock.Drift)
}

// check validates the platform's settings. The error names the first invalid field.
func (p *Platform) check() error {
	if err := p.checkNames(); err != nil {
		return err
	}
	if err := p.checkAddresses(); err != nil {
		return err
	}
	return p.Facts.check()
}

// checkNames checks that every controller has a unique name.
func (p *Platform) checkNames() error {
	names := map[string]bool{p.Node: true}
	for i, other := range p.Others {
		if other.Node == "" || names[other.Node] {
			return fmt.Errorf("others[%d].node: empty or duplicate name", i)
		}
		names[other.Node] = true
	}
	if p.Node == "" {
		return errors.New("node: missing")
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"client_listen", p.ClientListen}, {"back", p.PeerListen},
		{"outside.cloud", p.Outside.Cloud}, {"outside.state", p.Outside.State},
	}
	for i, other := range p.Others {
		addresses = append(addresses, address{fmt.Sprintf("others[%d].addr", i), other.Addr})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.field, a.value)
		}
	}
	return nil
}

func (f *Facts) check() error {
	for _, check := range []func() error{f.checkPositive, f.checkTeams, f.checkZones, f.State.check, f.Workers.check, f.Limits.check} {
		if err := check(); err != nil {
			return err
		}
	}
	if f.SkewMS < 0 || f.Cloud.ListLagS < 0 {
		return errors.New("facts.skew_ms or facts.cloud.list_lag_s: negative")
	}
	return nil
}

// checkPositive checks the numbers that are required and must be positive.
func (f *Facts) checkPositive() error {
	for _, number := range []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelS}, {"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS}, {"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)}, {"facts.cloud.rps", f.Cloud.RPS},
		{"facts.machine_limits.core_share", f.Limits.CoreShare}, {"facts.machine_limits.mem_mb", f.Limits.MemMB},
		{"facts.machine_limits.fd_limit", float64(f.Limits.FDLimit)},
	} {
		if !(number.value > 0) {
			return fmt.Errorf("%s: missing or not positive", number.field)
		}
	}
	return nil
}

func (f *Facts) checkTeams() error {
	for i, team := range f.Teams {
		if team.Name == "" || team.CPUs < 0 || team.CPUsMax < 0 || team.Accel < 0 || team.AccelMax < 0 {
			return fmt.Errorf("facts.teams[%d]: empty name or negative amount", i)
		}
	}
	if len(f.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	return nil
}

func (f *Facts) checkZones() error {
	if len(f.Zones) == 0 || slices.Contains(f.Zones, "") {
		return errors.New("facts.zones: missing, or a zone has no name")
	}
	return nil
}

func (s *State) check() error {
	if s.ValueKB < MinValueKB {
		return fmt.Errorf("facts.state.value_kb: %v is too small: one record may take %d", s.ValueKB, MinValueKB)
	}
	if s.TxnOps < MinTxnOps {
		return fmt.Errorf("facts.state.txn_ops: %d is too small: finishing a job takes %d", s.TxnOps, MinTxnOps)
	}
	return nil
}

func (w *Workers) check() error {
	if w.LeaseS <= w.ReportS {
		return errors.New("facts.workers.lease_s: not longer than facts.workers.report_s")
	}
	return nil
}

func (l *Limits) check() error {
	if l.FDLimit < MinSockets {
		return fmt.Errorf("facts.machine_limits.fd_limit: %d sockets are too few: a controller requires at least %d", l.FDLimit, MinSockets)
	}
	if l.MemMB < MinMemoryMB {
		return fmt.Errorf("facts.machine_limits.mem_mb: %v MB is too little: a controller requires at least %d", l.MemMB, MinMemoryMB)
	}
	return nil
}
