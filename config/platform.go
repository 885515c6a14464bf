// Package config loads and checks the two settings files: the platform's, which every controller is
// given, and the operators', which has a schema and defaults.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Platform is the platform's settings file.
type Platform struct {
	Node         string `json:"node"`
	Area         string `json:"area"`
	ClientListen string `json:"client_listen"` // for users and workers
	PeerListen   string `json:"back"`          // for the other controllers
	Others       []Node `json:"others"`
	Outside      struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"outside"`
	Facts Facts `json:"facts"`
}

// Node is another controller.
type Node struct {
	Node string `json:"node"`
	Area string `json:"area"`
	Addr string `json:"addr"`
}

// Facts are the parameters of the deployment.
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

// The kinds of objectives.
const (
	// ObjectiveFinished: a share of a class's jobs finish within a time after their acceptance.
	ObjectiveFinished = "finished"
	// ObjectiveWait: a share of a class's tasks start within a time after their acceptance.
	ObjectiveWait = "wait"
)

// Objective is a service-level objective.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// ShortestObjective is the shortest time, in seconds, that the objectives of a kind name for a class;
// zero when none does.
func (f *Facts) ShortestObjective(kind, class string) (withinS float64) {
	for _, objective := range f.Objectives {
		if objective.Kind == kind && objective.Class == class && (withinS == 0 || objective.WithinS < withinS) {
			withinS = objective.WithinS
		}
	}
	return withinS
}

// Workers is the workers' timing.
type Workers struct {
	ReportS float64 `json:"report_s"` // interval of heartbeats
	LeaseS  float64 `json:"lease_s"`  // how long a worker runs its tasks without a response
	CancelS float64 `json:"cancel_s"` // within which the tasks of a cancelled job must end
}

// State is the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Cloud is the limits of the cloud.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits is what this process may use.
type Limits struct {
	CoreShare float64 `json:"core_share"`
	MemMB     float64 `json:"mem_mb"`
	FDLimit   int     `json:"fd_limit"`
}

// LoadPlatform loads and checks the platform's settings file. Unknown fields are ignored.
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
