package fleet

// QuarantineReason is why a machine gets no tasks and is to be emptied; empty
// when it is not quarantined.
type QuarantineReason string

// The reasons for a quarantine.
const (
	// QuarantineFailing: tasks fail on it that succeed elsewhere.
	QuarantineFailing QuarantineReason = "failing"
	// QuarantineSlow: tasks take clearly longer on it than elsewhere.
	QuarantineSlow QuarantineReason = "slow"
	// QuarantinePreemption: the cloud is about to take it back.
	QuarantinePreemption QuarantineReason = "preemption"
	// QuarantineNotAcknowledging: it reports, but nothing it is told takes effect.
	QuarantineNotAcknowledging QuarantineReason = "not acknowledging"
)
