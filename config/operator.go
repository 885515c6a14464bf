package config

import (
	_ "embed" // for defaultsJSON
	"encoding/json"
	"fmt"
	"os"

	"cedardoor/clock"
)

//go:embed defaults.json
var defaultsJSON []byte

// Operator holds the operators' settings; docs/operations.md documents every field.
type Operator struct {
	Repair  RepairSettings  `json:"repair"`
	Lead    LeadSettings    `json:"lead"`
	Fleet   FleetSettings   `json:"fleet"`
	Plan    PlanSettings    `json:"plan"`
	Metrics MetricsSettings `json:"metrics"`
}

// RepairSettings configures the repair rounds, which correct placements that break a rule.
type RepairSettings struct {
	PeriodS       float64 `json:"period_s"`
	Restarts      int     `json:"restarts"`
	RestartsShare float64 `json:"restarts_share"`
}

// LeadSettings configures the leader's lease.
type LeadSettings struct {
	TTLs   float64 `json:"ttl_s"`
	RenewS float64 `json:"renew_s"`
}

// FleetSettings configures the autoscaler.
type FleetSettings struct {
	Enabled             bool    `json:"enabled"`
	PeriodS             float64 `json:"period_s"`
	IdleS               float64 `json:"idle_s"`
	WindowS             float64 `json:"window_s"`
	Headroom            float64 `json:"headroom"`
	ReserveOnDemand     float64 `json:"reserve_ordinary"`
	ReserveMachine      float64 `json:"reserve_machine"`
	ReserveZone         float64 `json:"reserve_zone"`
	QueueS              float64 `json:"queue_s"`
	UrgentS             float64 `json:"urgent_s"`
	HoldS               float64 `json:"hold_s"`
	HoldOnDemandS       float64 `json:"hold_ordinary_s"`
	OnDemandDrainFactor float64 `json:"patience"`
	SilentS             float64 `json:"silent_s"`
	BootFactor          float64 `json:"boot_factor"`
	MaxMachines         int     `json:"max_machines"`
}

// PlanSettings configures the planner.
type PlanSettings struct {
	Sample int `json:"sample"` // number of machines considered for a task, if there are more
}

// MetricsSettings configures the operators' address, which serves metrics and reports.
type MetricsSettings struct {
	Listen string `json:"listen"` // host:port; empty disables it
}

// RepairInterval returns the time between repair rounds.
func (o *Operator) RepairInterval() clock.Micros { return clock.FromSeconds(o.Repair.PeriodS) }

// LoadOperator loads and validates the operators' settings file. Fields that the file does not set
// keep their defaults; an empty path returns the defaults. Unknown and invalid fields are rejected
// with an error that names them.
func LoadOperator(path string) (*Operator, error) {
	var o Operator
	if err := json.Unmarshal(defaultsJSON, &o); err != nil {
		return nil, fmt.Errorf("embedded defaults: %w", err)
	}
	if path == "" {
		return &o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	if err := validate(raw); err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if err := json.Unmarshal(raw, &o); err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if o.Lead.RenewS*2 > o.Lead.TTLs {
		return nil, fmt.Errorf("operator settings %s: /lead/renew_s: more than half of /lead/ttl_s", path)
	}
	return &o, nil
}
