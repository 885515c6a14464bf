package recovery

// DamageKind is what is wrong with a record.
type DamageKind string

// The kinds of damage.
const (
	// DamageJob: an unfinished job's record can't be decoded.
	DamageJob DamageKind = "job"
	// DamageMissingJob: attempts are recorded of a job of which there is no record.
	DamageMissingJob DamageKind = "missing_job"
	// DamageAttempts: a record of some of a job's attempts can't be decoded.
	DamageAttempts DamageKind = "attempts"
	// DamageShared: a record of attempts of many small jobs can't be decoded.
	DamageShared DamageKind = "shared_attempts"
	// DamageFinalState: the final state of a job can't be decoded.
	DamageFinalState DamageKind = "final_state"
	// DamageRebuilt: a record that the leader makes anew by itself can't be decoded.
	DamageRebuilt DamageKind = "rebuilt"
	// DamageUnknownKey: a key that no controller of this release writes.
	DamageUnknownKey DamageKind = "unknown_key"
)

// Damage is a record that can't be used.
type Damage struct {
	Key    string     `json:"key"`
	Kind   DamageKind `json:"kind"`
	Job    string     `json:"job,omitempty"`
	Detail string     `json:"detail,omitempty"`
}

var advice = map[DamageKind]string{
	DamageJob:        "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageMissingJob: "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageAttempts:   "nothing: its tasks are found again on the machines, the others start when every machine is accounted for",
	DamageShared:     "nothing: the jobs' tasks are found again on the machines, the others start when every machine is accounted for",
	DamageFinalState: "its tasks are stopped; restore the record if users ask for the job",
	DamageRebuilt:    "nothing: it is written anew",
	DamageUnknownKey: "nothing reads it; delete it if no later release wrote it",
}

// Advice tells operators what follows, and what they can do.
func (k DamageKind) Advice() string { return advice[k] }
