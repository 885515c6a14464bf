package fleet

// QuarantineReason is why a machine is drained and gets no new tasks; empty when
// it is not quarantined.
type QuarantineReason string

// Quarantine reasons.
const (
	// QuarantineFailing: tasks fail on the machine that succeed elsewhere.
	QuarantineFailing QuarantineReason = "failing"
	// QuarantineSlow: tasks take clearly longer on the machine than elsewhere.
	QuarantineSlow QuarantineReason = "slow"
	// QuarantinePreemption: the cloud is about to reclaim the machine.
	QuarantinePreemption QuarantineReason = "preemption"
	// QuarantineNotAcknowledging: the machine reports, but commands take no effect on it.
	QuarantineNotAcknowledging QuarantineReason = "not acknowledging"
)
