package recovery

// DamageKind classifies what is wrong with a record.
type DamageKind string

// The kinds of damage.
const (
	// DamageJob: the record of an unfinished job can't be decoded or is invalid.
	DamageJob DamageKind = "job"
	// DamageMissingJob: a job has recorded attempts but no record of its own.
	DamageMissingJob DamageKind = "missing_job"
	// DamageAttempts: a chunk of a job's attempts can't be decoded or is invalid.
	DamageAttempts DamageKind = "attempts"
	// DamageShared: a record shared by single-task jobs can't be decoded.
	DamageShared DamageKind = "shared_attempts"
	// DamageFinalState: the final state of a job can't be decoded.
	DamageFinalState DamageKind = "final_state"
	// DamageRebuilt: a record that the leader can rebuild by itself can't be decoded.
	DamageRebuilt DamageKind = "rebuilt"
	// DamageUnknownKey: no controller of this release writes this key.
	DamageUnknownKey DamageKind = "unknown_key"
)

// Damage describes a record that can't be used.
type Damage struct {
	Key    string     `json:"key"`
	Kind   DamageKind `json:"kind"`
	Job    string     `json:"job,omitempty"`
	Detail string     `json:"detail,omitempty"`
}

// advice describes, for each kind of damage, its effect and what operators can do about it.
var advice = map[DamageKind]string{
	DamageJob:        "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageMissingJob: "its tasks go on, none is started; restore the record, or have the job submitted under another id",
	DamageAttempts:   "nothing: its tasks are found again on the machines, the others start when every machine is accounted for",
	DamageShared:     "nothing: the jobs' tasks are found again on the machines, the others start when every machine is accounted for",
	DamageFinalState: "its tasks are stopped; restore the record if users ask for the job",
	DamageRebuilt:    "nothing: it is written anew",
	DamageUnknownKey: "nothing reads it; delete it if no later release wrote it",
}

// Advice returns the effect of the damage and what operators can do about it.
func (k DamageKind) Advice() string { return advice[k] }
