package config

import (
	"fmt"
	"slices"
)

// Thresholds below which a setting causes a warning.
const (
	// With less than these, a controller starts but can't serve hundreds of machines.
	recommendedSockets   = 256
	recommendedMemoryMB  = 48
	recommendedCoreShare = 0.05
	// recommendedValueKB is the size of a job's record with the longest names and the most machine types.
	recommendedValueKB = 4
	// minReportsPerLease is how many heartbeat intervals a worker's lease should span.
	minReportsPerLease = 3
	// minReportsToStop is how many heartbeat intervals should remain between the end of a worker's
	// lease and the time limit for stopping the tasks of a cancelled job.
	minReportsToStop = 2
)

// Warnings returns a message for each setting that is valid but is likely to be a mistake or too small
// for a large deployment.
func (p *Platform) Warnings(o *Operator) []string {
	warnings := slices.Concat(p.Facts.Limits.warnings(), p.Facts.State.warnings(), p.timingWarnings(o))
	if !slices.Contains(p.Facts.Zones, p.Area) {
		warnings = append(warnings, fmt.Sprintf("area: %q is not among facts.zones", p.Area))
	}
	return append(warnings, p.Facts.teamWarnings()...)
}

func (l *Limits) warnings() (warnings []string) {
	if l.FDLimit < recommendedSockets {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.fd_limit: %d sockets: workers' connections will be closed after each response", l.FDLimit))
	}
	if l.MemMB < recommendedMemoryMB {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.mem_mb: %v MB: hundreds of machines need more", l.MemMB))
	}
	if l.CoreShare < recommendedCoreShare {
		warnings = append(warnings, fmt.Sprintf("facts.machine_limits.core_share: %v of a core: hundreds of machines need more", l.CoreShare))
	}
	return warnings
}

// warnings returns a message for each limit, present or announced, that is too low for some work.
func (s *State) warnings() (warnings []string) {
	for _, limits := range []struct {
		field string
		state State
	}{{"facts.state", *s}, {"facts.state.next", s.Lowered()}} {
		if limits.field != "facts.state" && s.Next == nil {
			break
		}
		if limits.state.ValueKB < recommendedValueKB {
			warnings = append(warnings, fmt.Sprintf("%s.value_kb: %v: jobs with long names or many machine types can't be accepted", limits.field, limits.state.ValueKB))
		}
		if limits.state.TxnOps < MinTxnOps {
			warnings = append(warnings, fmt.Sprintf("%s.txn_ops: %d: finishing a job takes %d", limits.field, limits.state.TxnOps, MinTxnOps))
		}
	}
	return warnings
}

func (p *Platform) timingWarnings(o *Operator) (warnings []string) {
	workers := &p.Facts.Workers
	if workers.LeaseS < minReportsPerLease*workers.ReportS {
		warnings = append(warnings, "facts.workers.lease_s: less than three times facts.workers.report_s: a lease may expire after one lost heartbeat")
	}
	if remaining := workers.CancelS - p.maxUnsupervisedS(o); remaining < minReportsToStop*workers.ReportS {
		warnings = append(warnings, fmt.Sprintf("facts.workers.cancel_s: only %.1f s more than /lead/ttl_s and facts.workers.lease_s together: an isolated leader's tasks have little time to stop", remaining))
	}
	return warnings
}

// teamWarnings returns a message for each mistake in the teams' limits. These are not errors, because
// one team's mistake must not stop the other teams' jobs.
func (f *Facts) teamWarnings() (warnings []string) {
	names := map[string]bool{}
	for i, team := range f.Teams {
		if names[team.Name] {
			warnings = append(warnings, fmt.Sprintf("facts.teams[%d]: duplicate team %q: the last entry applies", i, team.Name))
		}
		names[team.Name] = true
		if limits := team.Limits(); !limits.WithinLimit(limits.Guarantee) {
			warnings = append(warnings, fmt.Sprintf("facts.teams[%d]: the guarantee of %q exceeds its limit: the limit applies", i, team.Name))
		}
	}
	return warnings
}
