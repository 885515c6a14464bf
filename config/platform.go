// Package config loads and validates the two settings files: the platform's, which every controller
// requires, and the operators', which is optional and has a schema and defaults.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Platform holds the platform's settings for one controller.
type Platform struct {
	Node         string `json:"node"`
	Area         string `json:"area"`
	ClientListen string `json:"client_listen"` // address for users and workers
	PeerListen   string `json:"back"`          // address for the other controllers
	Others       []Node `json:"others"`
	Outside      struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"outside"`
	Facts Facts `json:"facts"`
}

// Node describes another controller.
type Node struct {
	Node string `json:"node"`
	Area string `json:"area"`
	Addr string `json:"addr"`
}

// Facts holds the parameters of the deployment.
type Facts struct {
	InitialSize int         `json:"initial_size"`
	Zones       []string    `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     Workers     `json:"workers"`
	State       State       `json:"state"`
	Cloud       Cloud       `json:"cloud"`
	Limits      Limits      `json:"machine_limits"`
	SkewMS      float64     `json:"skew_ms"`
}

// Values of Objective.Kind.
const (
	// ObjectiveFinished requires a share of a class's jobs to finish within a time after acceptance.
	ObjectiveFinished = "finished"
	// ObjectiveWait requires a share of a class's tasks to start within a time after acceptance.
	ObjectiveWait = "wait"
)

// Objective is a service-level objective.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// ShortestObjective returns the shortest time, in seconds, among the objectives of a kind for a class,
// or zero if there are none.
func (f *Facts) ShortestObjective(kind, class string) (withinS float64) {
	for _, objective := range f.Objectives {
		if objective.Kind == kind && objective.Class == class && (withinS == 0 || objective.WithinS < withinS) {
			withinS = objective.WithinS
		}
	}
	return withinS
}

// Workers holds the workers' timing parameters.
type Workers struct {
	ReportS float64 `json:"report_s"` // heartbeat interval
	LeaseS  float64 `json:"lease_s"`  // how long a worker keeps its tasks running without a response
	CancelS float64 `json:"cancel_s"` // time limit for stopping the tasks of a cancelled job
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds the limits that will apply from a time that is not announced. A limit that is zero
	// does not change.
	Next *NextState `json:"next"`
}

// NextState holds the limits that the state service will have.
type NextState struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// ValueBytes returns the size limit of a value in bytes.
func (s State) ValueBytes() int { return int(s.ValueKB * 1024) }

// Lowered returns the limits as they are once the announced ones apply, as far as these are lower.
func (s State) Lowered() State {
	if s.Next == nil {
		return s
	}
	next := *s.Next
	s.RPS, s.WriteRPS, s.ValueKB = lower(s.RPS, next.RPS), lower(s.WriteRPS, next.WriteRPS), lower(s.ValueKB, next.ValueKB)
	s.TxnOps = int(lower(float64(s.TxnOps), float64(next.TxnOps)))
	return s
}

// lower returns the lower of a limit and the one announced for it, if there is one.
func lower(limit, announced float64) float64 {
	if announced > 0 {
		return min(limit, announced)
	}
	return limit
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits holds the resource limits of this process.
type Limits struct {
	CoreShare float64 `json:"core_share"`
	MemMB     float64 `json:"mem_mb"`
	FDLimit   int     `json:"fd_limit"`
}

// LoadPlatform loads and validates the platform's settings file. Unknown fields are ignored.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var p Platform
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &p, nil
}
