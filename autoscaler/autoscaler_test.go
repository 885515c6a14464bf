package autoscaler

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"cedardoor/attribution"
	"cedardoor/clock"
	"cedardoor/cloud"
	"cedardoor/config"
	"cedardoor/fleet"
	"cedardoor/jobs"
	"cedardoor/quota"
	"cedardoor/store"
	"cedardoor/wire"
)

const firstToken = 3

// fixture is an autoscaler with one machine type, and the input of its passes.
type fixture struct {
	*Autoscaler
	table   *jobs.Table
	awaited awaited
}

// awaited is a set of machines that have not yet reported to this leader.
type awaited map[*fleet.Machine]bool

func (a awaited) IsAwaited(machine *fleet.Machine) bool { return a[machine] }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	facts := &config.Facts{Cloud: config.Cloud{ListLagS: 8}, Workers: config.Workers{ReportS: 3, LeaseS: 18}}
	ledger := quota.NewLedger(nil)
	f := fleet.New(18*clock.Second, 3*clock.Second, firstToken, ledger)
	a := New(Settings{Facts: facts, Operator: operator, Fleet: f, Quota: ledger, Token: firstToken, Log: slog.New(slog.DiscardHandler)})
	a.SetCatalog(wire.Catalog{MachineTypes: []wire.MachineType{{SKU: "m", Cores: 8, RAM: 32, BootS: 30, Zones: []string{"x", "y"}}}})
	return &fixture{Autoscaler: a, table: jobs.NewTable(), awaited: awaited{}}
}

func (f *fixture) view(now clock.Micros) View {
	return View{Now: now, Wall: now, Jobs: f.table, Failures: attribution.NewTracker(f.Fleet, f.Log), BestEffortRate: 100,
		Awaited: f.awaited}
}

func (f *fixture) add(uid string, change func(spec *wire.Spec)) *jobs.Job {
	spec := wire.Spec{UID: uid, Kind: wire.KindBatch, Priority: "standard", Tasks: 4, Cores: 2, RAM: 4, ExpectedS: 20, Preemptible: true}
	change(&spec)
	job := jobs.New(store.JobRecord{Spec: spec}, 1, f.Facts, 0)
	f.table.Add(job)
	f.table.Enqueue(job)
	return job
}

// report delivers a heartbeat of a machine, which then counts as up.
func (f *fixture) report(name string, now clock.Micros) *fleet.Machine {
	report := &wire.Heartbeat{Machine: name, Endpoint: "e", MachineType: "m", Zone: "x", Preemptible: true, Incarnation: 1,
		Sequence: uint64(now) + 1, Token: firstToken}
	f.Fleet.Report(now, report, true)
	machine := f.Fleet.Machine(name)
	f.MachineUp(machine, now)
	return machine
}

// TestDemandByKind: on-demand work, replicas and batch work add to the right parts of the demand.
func TestDemandByKind(t *testing.T) {
	f := newFixture(t)
	f.add("j-1", func(spec *wire.Spec) { spec.Kind, spec.Preemptible = wire.KindService, false })
	f.add("j-2", func(spec *wire.Spec) { spec.Kind = wire.KindService })
	batch := f.add("j-3", func(*wire.Spec) {})
	demand := f.Demand(f.view(clock.Second))
	if demand.OnDemand.Cores != 8 {
		t.Errorf("%v on-demand cores, want 8", demand.OnDemand.Cores)
	}
	if demand.Preemptible.Cores <= 8 || demand.Urgent.Cores <= 8 {
		t.Errorf("%v preemptible and %v urgent cores, want more than the replicas' 8", demand.Preemptible.Cores, demand.Urgent.Cores)
	}
	if !batch.ArrivalCounted {
		t.Error("the batch job's arrival is not counted")
	}
}

// TestFailingJobsAddNoDemand: no machines are rented for a job whose tasks fail on every machine.
func TestFailingJobsAddNoDemand(t *testing.T) {
	f := newFixture(t)
	job := f.add("j-1", func(*wire.Spec) {})
	tracker := attribution.NewTracker(f.Fleet, f.Log)
	for i := range 3 {
		failure := attribution.Failure{Machine: f.report(fmt.Sprintf("n-%d", i), clock.Second), TaskFailures: 1}
		if outcome, _ := tracker.TaskFailed(job, failure, clock.Second); outcome == attribution.JobFailing {
			f.JobFailing(job)
		}
	}
	if demand := f.Demand(f.view(2 * clock.Second)); demand.Preemptible.Cores != 0 || demand.Urgent.Cores != 0 {
		t.Errorf("%v preemptible and %v urgent cores for a job that fails", demand.Preemptible.Cores, demand.Urgent.Cores)
	}
}

// Guards against a gang on spot machines that never runs, since machines are rented for it as for an
// array, whose tasks may run one after the other.
func TestGangNeedsMachinesForAllTasks(t *testing.T) {
	f := newFixture(t)
	gang := f.add("j-1", func(spec *wire.Spec) {
		spec.Kind, spec.Tasks, spec.Cores, spec.Zone, spec.MachineTypes = wire.KindGang, 7, 8, "x", []string{"m"}
	})
	demand := f.Demand(f.view(clock.Second))
	if demand.Preemptible.Cores < 56 || demand.Urgent.Cores < 56 {
		t.Errorf("%v preemptible and %v urgent cores, want 56 or more", demand.Preemptible.Cores, demand.Urgent.Cores)
	}
	if work := f.ConstrainedWork(f.view(clock.Second), nil); len(work) != 1 || work[0].Cores != 56 {
		t.Errorf("constrained work %+v, want 56 cores", work)
	}
	stuck := f.stuckConstraints(f.view(2*stuckAfter), stuckAfter)
	if len(stuck) != 1 || stuck[0].Together != len(gang.Waiting) || stuck[0].SameZone {
		t.Errorf("stuck %+v, want all %d tasks together, in any zones", stuck, len(gang.Waiting))
	}
}

// TestRentedMachinesAreCountedOnce: a rented machine counts from the cloud's response on, and is not
// counted again when it reports.
func TestRentedMachinesAreCountedOnce(t *testing.T) {
	f := newFixture(t)
	request := f.NewRequest(cloud.Rental{MachineType: "m", Zone: "x", Preemptible: true, Count: 1})
	f.Rented(request, []string{"n-1"}, 0, clock.Second)
	if n := f.Decide(f.view(2 * clock.Second)).Machines; n != 1 {
		t.Fatalf("%d machines after the rental, want 1", n)
	}
	f.report("n-1", 20*clock.Second)
	if n := f.Decide(f.view(21 * clock.Second)).Machines; n != 1 {
		t.Errorf("%d machines once it reports, want 1", n)
	}
	if ratios := f.BootRatios(); len(ratios) != 1 {
		t.Errorf("boot times %v, want one", ratios)
	}
	second := f.NewRequest(cloud.Rental{MachineType: "m", Zone: "x", Count: 1})
	if second.RequestID == request.RequestID {
		t.Error("a request ID is used twice")
	}
}

// TestReturnedMachinesAreRemembered: a stale machine list does not add a returned machine again. The
// record of it expires.
func TestReturnedMachinesAreRemembered(t *testing.T) {
	f := newFixture(t)
	f.Returned("n-1", 0)
	list := []wire.Machine{{UID: "n-1", Type: "m", Zone: "x", Status: wire.MachineRunning}}
	f.SetMachineList(list, clock.Second)
	if f.Fleet.Machine("n-1") != nil || !f.WasReturned("n-1") {
		t.Error("a stale list added a returned machine again")
	}
	f.SetMachineList(nil, returnedRetention+2*clock.Second)
	if f.WasReturned("n-1") {
		t.Error("the record of a returned machine does not expire")
	}
}

// TestLostAndDeadMachines checks which machines don't count as capacity, and which are returned.
func TestLostAndDeadMachines(t *testing.T) {
	const now = 1000 * clock.Second
	f := newFixture(t)
	tests := []struct {
		name       string
		set        func(m *fleet.Machine)
		lost, dead bool
	}{
		{"reporting", func(m *fleet.Machine) { m.Reported, m.LastHeartbeat = true, now }, false, false},
		{"unresponsive", func(m *fleet.Machine) { m.Reported, m.LastHeartbeat, m.Unresponsive = true, now-clock.Second, true }, true, false},
		{"silent for long", func(m *fleet.Machine) { m.Reported, m.Unresponsive = true, true }, true, true},
		{"failed", func(m *fleet.Machine) { m.CloudStatus, m.ListedAt = wire.MachineFailed, now }, true, true},
		{"booting", func(m *fleet.Machine) { m.CloudStatus, m.ListedAt, m.FirstSeen = wire.MachineBooting, now, now }, false, false},
		{"running, never reported", func(m *fleet.Machine) { m.CloudStatus, m.ListedAt = wire.MachineRunning, now }, true, true},
		{"awaited", func(m *fleet.Machine) { f.awaited[m], m.FirstSeen = true, now }, true, false},
	}
	for _, tt := range tests {
		machine := &fleet.Machine{Name: tt.name, Description: fleet.Description{Type: "m", Zone: "x"}}
		tt.set(machine)
		view := f.view(now)
		if lost, dead := f.isLost(view, machine), f.isDead(view, machine); lost != tt.lost || dead != tt.dead {
			t.Errorf("%s: lost %t, dead %t; want %t, %t", tt.name, lost, dead, tt.lost, tt.dead)
		}
	}
}

// TestSuccessorRestoresDemand: a successor starts with the recorded arrival rate and run times.
func TestSuccessorRestoresDemand(t *testing.T) {
	f := newFixture(t)
	for range minClassRuns {
		f.TaskDone("nightly", 7*clock.Second)
	}
	f.add("j-1", func(*wire.Spec) {})
	f.Demand(f.view(clock.Second))
	record, due := f.DemandToSave(20*clock.Second, 8<<10)
	if !due {
		t.Fatal("the demand is not due to be recorded")
	}
	if _, again := f.DemandToSave(21*clock.Second, 8<<10); again {
		t.Error("the demand is due again a second later")
	}
	next := newFixture(t)
	next.RestoreDemand(&record)
	if next.predecessorRate != f.arrivalRate || next.classRuns["nightly"] != f.classRuns["nightly"] {
		t.Errorf("restored rate %+v and run times %+v differ from the recorded ones", next.predecessorRate, next.classRuns)
	}
}

// Guards against a record of the demand that is too large for lower limits of the state service: the classes
// with the most runs are kept.
func TestDemandFitsLimit(t *testing.T) {
	f := newFixture(t)
	for k := range 2 * maxSavedClasses {
		for range 1 + k {
			f.TaskDone(fmt.Sprintf("class-%03d-%s", k, strings.Repeat("n", 40)), clock.Second)
		}
	}
	f.add("j-1", func(*wire.Spec) {})
	f.Demand(f.view(clock.Second))
	const maxBytes = 1 << 10
	record, _ := f.DemandToSave(20*clock.Second, maxBytes)
	if got := store.ValueSize(record); got > maxBytes || got < maxBytes*3/4 {
		t.Errorf("a record of %d bytes, want little less than %d", got, maxBytes)
	}
	if most := fmt.Sprintf("class-%03d-%s", 2*maxSavedClasses-1, strings.Repeat("n", 40)); record.Classes[most] == ([2]int64{}) {
		t.Error("the class with the most runs is left out")
	}
}
