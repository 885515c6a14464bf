package recovery

// DamageKind tells what is wrong with a record.
type DamageKind string

// The kinds of damage.
const (
	// DamageJob: an unfinished job's record can't be decoded.
	DamageJob DamageKind = "job"
	// DamageMissingJob: a job has recorded attempts and no record of its own.
	DamageMissingJob DamageKind = "missing_job"
	// DamageAttempts: a chunk of a job's attempts can't be decoded.
	DamageAttempts DamageKind = "attempts"
	// DamageShared: a record that single-task jobs share can't be decoded.
	DamageShared DamageKind = "shared_attempts"
	// DamageFinalState: the final state of a job can't be decoded.
	DamageFinalState DamageKind = "final_state"
	// DamageRebuilt: a record that the leader rebuilds by itself can't be decoded.
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

// advice tells operators what follows from damage of each kind, and what they can do.
var advice = map[DamageKind]string{
	DamageJob:        "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageMissingJob: "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageAttempts:   "nothing: its tasks are found again on the machines, the others start when every machine is accounted for",
	DamageShared:     "nothing: the jobs' tasks are found again on the machines, the others start when every machine is accounted for",
	DamageFinalState: "its tasks are stopped; restore the record if users ask for the job",
	DamageRebuilt:    "nothing: it is written anew",
	DamageUnknownKey: "nothing reads it; delete it if no later release wrote it",
}

// Advice tells operators what follows from the damage, and what they can do about it.
func (k DamageKind) Advice() string { return advice[k] }
