// Package config reads the two settings files: the platform's, handed to
// every daemon, and the operators' own, which a schema guards.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"

	"cedardoor/clock"
	"cedardoor/quota"

	"github.com/google/jsonschema-go/jsonschema"
)

// Node is another controller.
type Node struct {
	Node string `json:"node"`
	Area string `json:"area"`
	Addr string `json:"addr"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name     string  `json:"name"`
	CPUs     float64 `json:"cpus"`
	CPUsMax  float64 `json:"cpus_max"`
	Accel    float64 `json:"gpus"`
	AccelMax float64 `json:"gpus_max"`
}

// Limits are the team's guarantee and limit as the ledger counts them.
func (t *Team) Limits() quota.Limits {
	return quota.Limits{Guarantee: quota.NewAmount(t.CPUs, t.Accel), Limit: quota.NewAmount(t.CPUsMax, t.AccelMax)}
}

// TeamLimits are the limits of teams by name. A team that is named twice has the last.
func TeamLimits(teams []Team) map[string]quota.Limits {
	out := make(map[string]quota.Limits, len(teams))
	for _, t := range teams {
		out[t.Name] = t.Limits()
	}
	return out
}

// The kinds of objectives.
const (
	// ObjectiveFinished: a share of a class's jobs is done within a time of their acceptance.
	ObjectiveFinished = "finished"
	// ObjectiveWait: a share of a class's tasks starts within a time of their acceptance.
	ObjectiveWait = "wait"
)

// Objective is one of the service-level objectives that the platform states.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Workers holds the workers' timing.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Cloud holds the cloud's limits.
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

// Facts are the deployment's parameters.
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

// Platform is the file that the platform hands over.
type Platform struct {
	Node         string `json:"node"`
	Area         string `json:"area"`
	ClientListen string `json:"client_listen"`
	PeerListen   string `json:"back"`
	Others       []Node `json:"others"`
	Outside      struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"outside"`
	Facts Facts `json:"facts"`
}

// LoadPlatform reads and checks the platform's file; unknown fields are ignored.
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

// The least that records need of the state service: a full record of a job's
// tasks, and the two changes with which a job ends beside one of its records.
const (
	MinValueKB = 8
	MinTxnOps  = 3
)

// The least with which a controller runs at all: its own connections and a few
// workers' and users'; an idle process.
const (
	MinSockets  = 48
	MinMemoryMB = 12
)

// lastWord is how long a task may go on after its leader last knew everything:
// the leader answers until its lease ends, and leases run from the last answer.
func (p *Platform) lastWord(o *Operator) float64 {
	return (o.Lead.TTLs + p.Facts.Workers.LeaseS) * (1 + clock.Drift)
}

// CheckCompatible checks what the two files must keep together: a task whose job is
// cancelled while its leader is cut off is ended by its worker's lease alone.
func (p *Platform) CheckCompatible(o *Operator) error {
	if last := p.lastWord(o); last >= p.Facts.Workers.CancelS {
		return fmt.Errorf("facts.workers.cancel_s: %v s is not longer than /lead/ttl_s, facts.workers.lease_s and drift together (%.3f s)", p.Facts.Workers.CancelS, last)
	}
	return nil
}

// Warnings names what is enough to start with but little to serve many with.
func (p *Platform) Warnings(o *Operator) (warnings []string) {
	f := &p.Facts
	add := func(format string, args ...any) { warnings = append(warnings, fmt.Sprintf(format, args...)) }
	if f.Limits.FDLimit < 256 {
		add("facts.machine_limits.fd_limit: %d sockets: connections of workers will be closed after each answer", f.Limits.FDLimit)
	}
	if f.Limits.MemMB < 48 {
		add("facts.machine_limits.mem_mb: %v MB: hundreds of machines need more", f.Limits.MemMB)
	}
	if f.Limits.CoreShare < 0.05 {
		add("facts.machine_limits.core_share: %v of a core: hundreds of machines need more", f.Limits.CoreShare)
	}
	if f.Workers.LeaseS < 3*f.Workers.ReportS {
		add("facts.workers.lease_s: less than three of facts.workers.report_s: one lost report may cost a lease")
	}
	if left := f.Workers.CancelS - p.lastWord(o); left < 2*f.Workers.ReportS {
		add("facts.workers.cancel_s: only %.1f s more than /lead/ttl_s and facts.workers.lease_s: a cut leader's tasks have little time to stop", left)
	}
	if !slices.Contains(f.Zones, p.Area) {
		add("area: %q is not among facts.zones", p.Area)
	}
	return append(warnings, f.teamWarnings()...)
}

// teamWarnings names what is amiss with teams' limits. None keeps a controller from
// starting: a team's mistake must not stop the others' work.
func (f *Facts) teamWarnings() (warnings []string) {
	named := map[string]bool{}
	for i, t := range f.Teams {
		if named[t.Name] {
			warnings = append(warnings, fmt.Sprintf("facts.teams[%d]: %q is named twice: the last counts", i, t.Name))
		}
		named[t.Name] = true
		if limits := t.Limits(); !limits.Admit(limits.Guarantee) {
			warnings = append(warnings, fmt.Sprintf("facts.teams[%d]: %q is guaranteed more than its limit: the limit holds", i, t.Name))
		}
	}
	return warnings
}

func (p *Platform) check() error {
	addrs := []struct{ field, value string }{
		{"client_listen", p.ClientListen}, {"back", p.PeerListen},
		{"outside.cloud", p.Outside.Cloud}, {"outside.state", p.Outside.State},
	}
	names := map[string]bool{p.Node: true}
	for i, o := range p.Others {
		if o.Node == "" || names[o.Node] {
			return fmt.Errorf("others[%d].node: empty or named twice", i)
		}
		names[o.Node] = true
		addrs = append(addrs, struct{ field, value string }{fmt.Sprintf("others[%d].addr", i), o.Addr})
	}
	if p.Node == "" {
		return fmt.Errorf("node: missing")
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.field, a.value)
		}
	}
	f := &p.Facts
	positive := []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelS}, {"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS}, {"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)}, {"facts.cloud.rps", f.Cloud.RPS},
		{"facts.machine_limits.core_share", f.Limits.CoreShare}, {"facts.machine_limits.mem_mb", f.Limits.MemMB},
		{"facts.machine_limits.fd_limit", float64(f.Limits.FDLimit)},
	}
	for _, v := range positive {
		if !(v.value > 0) {
			return fmt.Errorf("%s: missing or not positive", v.field)
		}
	}
	for i, t := range f.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.Accel < 0 || t.AccelMax < 0 {
			return fmt.Errorf("facts.teams[%d]: no name, or a negative amount", i)
		}
	}
	if len(f.Teams) == 0 {
		return fmt.Errorf("facts.teams: missing")
	}
	if len(f.Zones) == 0 || slices.Contains(f.Zones, "") {
		return fmt.Errorf("facts.zones: missing, or one has no name")
	}
	if f.State.ValueKB < MinValueKB {
		return fmt.Errorf("facts.state.value_kb: %v is too small for one record, which takes %d", f.State.ValueKB, MinValueKB)
	}
	if f.State.TxnOps < MinTxnOps {
		return fmt.Errorf("facts.state.txn_ops: %d is too small for one change of a job, which takes %d", f.State.TxnOps, MinTxnOps)
	}
	if f.Workers.LeaseS <= f.Workers.ReportS {
		return fmt.Errorf("facts.workers.lease_s: not longer than facts.workers.report_s")
	}
	if f.Limits.FDLimit < MinSockets {
		return fmt.Errorf("facts.machine_limits.fd_limit: %d is too few sockets to run at all, which takes %d", f.Limits.FDLimit, MinSockets)
	}
	if f.Limits.MemMB < MinMemoryMB {
		return fmt.Errorf("facts.machine_limits.mem_mb: %v is too little memory to run at all, which takes %d", f.Limits.MemMB, MinMemoryMB)
	}
	if f.SkewMS < 0 || f.Cloud.ListLagS < 0 {
		return fmt.Errorf("facts.skew_ms or facts.cloud.list_lag_s: negative")
	}
	return nil
}

//go:embed schema.json
var schemaText []byte

//go:embed defaults.json
var defaultsText []byte

// Operator is what operators may tune; docs/operations.md lists every field.
type Operator struct {
	Repair struct {
		PeriodS  float64 `json:"period_s"`
		Restarts int     `json:"restarts"`
		Share    float64 `json:"restarts_share"`
	} `json:"repair"`
	Lead struct {
		TTLs   float64 `json:"ttl_s"`
		RenewS float64 `json:"renew_s"`
	} `json:"lead"`
	Fleet struct {
		Enabled         bool    `json:"enabled"`
		PeriodS         float64 `json:"period_s"`
		IdleS           float64 `json:"idle_s"`
		WindowS         float64 `json:"window_s"`
		Headroom        float64 `json:"headroom"`
		ReserveOnDemand float64 `json:"reserve_ordinary"`
		ReserveMachine  float64 `json:"reserve_machine"`
		ReserveZone     float64 `json:"reserve_zone"`
		QueueS          float64 `json:"queue_s"`
		UrgentS         float64 `json:"urgent_s"`
		HoldS           float64 `json:"hold_s"`
		HoldOnDemandS   float64 `json:"hold_ordinary_s"`
		Patience        float64 `json:"patience"`
		SilentS         float64 `json:"silent_s"`
		BootFactor      float64 `json:"boot_factor"`
		MaxMachines     int     `json:"max_machines"`
	} `json:"fleet"`
	Plan struct {
		Sample int `json:"sample"`
	} `json:"plan"`
	Metrics struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
}

// RepairInterval is the time between repair rounds.
func (o *Operator) RepairInterval() clock.Micros { return clock.FromSeconds(o.Repair.PeriodS) }

// LoadOperator reads the operators' file over the embedded defaults; an empty
// path gives the defaults. An unknown or invalid key is refused with its path.
func LoadOperator(path string) (*Operator, error) {
	var o Operator
	if err := json.Unmarshal(defaultsText, &o); err != nil {
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

// validate checks an operators' file against the schema, and names every section
// that breaks it.
func validate(raw []byte) error {
	var schema jsonschema.Schema
	if err := json.Unmarshal(schemaText, &schema); err != nil {
		return fmt.Errorf("embedded schema: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	var doc any
	if err := dec.Decode(&doc); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something after the settings")
	}
	whole, err := schema.Resolve(nil)
	if err != nil {
		return fmt.Errorf("embedded schema: %w", err)
	}
	found := whole.Validate(doc)
	if found == nil {
		return nil
	}
	// The library stops at the first mistake that it meets, in no order: each
	// section is looked at by itself.
	var wrong []string
	sections, _ := doc.(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		part, err := (&jsonschema.Schema{Properties: schema.Properties, AdditionalProperties: schema.AdditionalProperties}).CloneSchemas().Resolve(nil)
		if err != nil {
			return fmt.Errorf("embedded schema: %w", err)
		}
		if err := part.Validate(map[string]any{name: sections[name]}); err != nil {
			wrong = append(wrong, err.Error())
		}
	}
	if len(wrong) == 0 {
		wrong = []string{found.Error()}
	}
	return errors.New(strings.ReplaceAll(strings.Join(wrong, "; "), "/properties", ""))
}
