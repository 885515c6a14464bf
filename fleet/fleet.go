// Package fleet keeps what is known of machines, their sessions and the tasks
// booked on them. It alone says whether a task may still exist somewhere: a
// booking is freed by proof, never by a guess. It does no I/O and has no lock;
// the leader's own lock guards it.
package fleet

import (
	"bytes"
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/recovery"
	"cedardoor/wire"
)

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// String gives the protocol's form.
func (p TaskID) String() string { return p.Job + "/" + strconv.Itoa(p.Index) }

// ParseTask reads the protocol's form.
func ParseTask(s string) (TaskID, bool) {
	job, num, found := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !found || err != nil || n < 0 || !wire.ValidUID(job) {
		return TaskID{}, false
	}
	return TaskID{Job: job, Index: n}, true
}

// Allocation is one attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Allocation struct {
	Task            TaskID
	Attempt         uint64
	Machine         *Machine
	Incarnation     uint64
	Team            string
	Cores           float64
	Accelerators    float64
	RAM             float64
	Image           string
	Priority        wire.Priority
	Preemptible     bool
	CheckpointGrace float64
	Checkpoints     bool
	ReservedAt      clock.Micros // reserved at
	Owner           any          // the leader's own record of the task's job

	// HeartbeatOnly: the run goes only with answers to heartbeats. Those die with the next
	// heartbeat, so that nothing need be fenced before results are forgotten, and a
	// machine that runs short tasks reports often anyway.
	HeartbeatOnly bool

	Durable         bool         // durable: may be sent
	Adopted         bool         // recorded by a predecessor
	Status          string       // as last reported; empty before the first report
	RunningSince    clock.Micros // first seen running
	Stopping        bool         // is to be stopped
	StopRequestedAt clock.Micros
	Grace           float64
	Ended           bool // has exited; takes no room any more
	Cause           string
	ResultDurable   bool // the result is durable: the worker may forget

	unfencedToken     uint64 // highest token of a /do run that may arrive, or arrive again
	inFlight          int    // /do requests with this run now in flight
	heartbeatSequence uint64 // highest tally of a heartbeat whose answer carried the run
	firstSent         clock.Micros
	index             int  // its index in the machine's list
	removed           bool // no longer in the list

	StopSent bool // its halt was sent directly once

	reservation *quota.Reservation // of its team's limit, as long as it may exist
}

// amount is what the attempt takes of its team's limit.
func (b *Allocation) amount() quota.Amount { return quota.NewAmount(b.Cores, b.Accelerators) }

// Reservation is the attempt's part of its team's use.
func (b *Allocation) Reservation() *quota.Reservation { return b.reservation }

// Sent tells when the run was first sent; zero if never.
func (b *Allocation) Sent() clock.Micros { return b.firstSent }

// Live tells whether the task may be on its machine or may come to be.
func (b *Allocation) Live() bool { return !b.Ended }

// mayArrive tells whether a run of this attempt may still arrive at the worker.
func (b *Allocation) mayArrive() bool { return b.unfencedToken > 0 || b.inFlight > 0 }

// Machine is a worker's machine.
type Machine struct {
	Name         string
	Endpoint     string
	Type         string
	Zone         string
	Preemptible  bool
	Cores        float64 // zero until the catalogue tells
	Accelerators float64
	RAM          float64

	Incarnation      uint64
	Sequence         uint64
	Token            uint64       // highest the worker has reported
	Reported         bool         // has reported under this term
	LastHeartbeat    clock.Micros // received
	AnsweredAt       clock.Micros // when a heartbeat of it was last answered, copies included
	LeaseEnd         clock.Micros // its tasks of Session are dead after this without another answer
	PreemptionAt     clock.Micros // spot notice: gone by then; zero when none
	CloudStatus      string       // status in the cloud's list; empty when not listed
	ListedAt         clock.Micros
	FirstSeen        clock.Micros
	IdleSince        clock.Micros     // since when nothing is booked; zero when something is
	Returning        bool             // a return was asked for
	QuarantineReason QuarantineReason // why repair must empty it; empty when not banned
	Cordoned         bool             // gets nothing new, is to be returned when empty
	SuspendedUntil   clock.Micros     // gets nothing new before: several jobs failed on it, and it is not clear yet which is at fault
	Probing          bool             // is being asked why it is silent
	UnansweredProbes int              // such questions in a row without an answer
	Unacknowledged   int              // signs in a row that what it is told takes no effect
	Suspect          bool             // was silent: one report does not make it trusted again
	Unresponsive     bool             // among the silent ones
	Slowness         float64          // observed run time against other machines'; 1 is usual
	SlownessSamples  int

	UsedCores        float64
	UsedAccelerators float64
	UsedRAM          float64

	Images map[string]bool // bundles seen here; true once one was fetched whole

	allocations       []*Allocation // in the order of their reservation
	byKey             map[attemptKey]*Allocation
	liveCount         int                   // bookings that may be on it
	orphans           map[attemptKey]orphan // tasks that the last report shows and that are not on the books
	runningOrphans    int                   // of those, tasks that have not ended
	supersededReports wire.ReportVersion    // as far as copies of an earlier process's reports may go, where the worker began to count anew
	mixedIncarnations bool                  // it adopted bookings of several sessions: those before the one that reports are over
	commandFailed     bool                  // a direct command did not get through since the last heartbeat
	answeredToken     uint64                // the token in the last answer
	lastTasks         []byte                // the task list of the last report, as it came
	lastTasksToken    uint64                // the token that it came with
	unchanged         bool                  // that list holds no news and asks for no orders
	leaseCheckAt      clock.Micros
	leaseIndex        int // its index in the fleet's order of lease ends, plus one
	heartbeat         *list.Element
}

// attemptKey names an attempt on a machine.
type attemptKey struct {
	task    TaskID
	attempt uint64
}

// orphan is what a report shows of a task that is not on the books.
type orphan struct{ status string }

func (u orphan) observation() recovery.Observation {
	if u.status == wire.TaskEnded {
		return recovery.ObservedEnded
	}
	return recovery.ObservedRunning
}

// Free is the room that nothing is booked on.
func (m *Machine) Free() (cores, accel, ram float64) {
	return m.Cores - m.UsedCores, m.Accelerators - m.UsedAccelerators, m.RAM - m.UsedRAM
}

// EachAllocation calls f for every booking on the machine, oldest first. f may remove
// the booking that it is given.
func (m *Machine) EachAllocation(f func(allocation *Allocation)) {
	for i := 0; i < len(m.allocations); {
		allocation := m.allocations[i]
		f(allocation)
		if i < len(m.allocations) && m.allocations[i] == allocation {
			i++
		}
	}
}

// AllocationCount is how many attempts are on the books, ended ones included.
func (m *Machine) AllocationCount() int { return len(m.allocations) }

// LiveCount is how many bookings may be on the machine.
func (m *Machine) LiveCount() int { return m.liveCount }

// Fleet is all machines known to the leader.
type Fleet struct {
	lease            clock.Micros // lease_s stretched for drift, with a margin
	reportInterval   clock.Micros
	quota            *quota.Ledger // what teams use: every booking has its part of it
	machines         map[string]*Machine
	machineTypes     map[string]wire.MachineType
	firstToken       uint64    // the term's first token
	leases           leaseHeap // machines with bookings, by when their lease may run out
	heartbeats       *list.List
	unfenced         map[*Allocation]bool // with a run that went unanswered: it may yet arrive
	repeatable       map[*Allocation]bool // with a run that was answered: it may arrive again
	reportOverloaded bool                 // some machine's report is getting long with results that wait for that to be ruled out

	// OnCapacityChange, if set, is told of every booking that comes to take room (+1) or no
	// longer does (-1), with the zone that it counts for.
	OnCapacityChange func(b *Allocation, zone string, sign int)
	// OnMachineChange, if set, is told of a machine of which something changed that
	// matters for placing.
	OnMachineChange func(m *Machine)
	// DecideOrphan, if set, tells what follows for a task that a worker shows and that is not on
	// the books. Where it is not set, such a task is stopped and forgotten.
	DecideOrphan func(task TaskID, observation recovery.Observation) recovery.Decision
	// orphans is where tasks are that are shown and not on the books.
	orphans map[TaskID]map[*Machine]bool
	// Examined counts machines and bookings looked at, so that tests can bound the work.
	Examined int
}

// leaseHeap is a heap of machines by when their lease may run out.
type leaseHeap []*Machine

func (l leaseHeap) Len() int           { return len(l) }
func (l leaseHeap) Less(i, k int) bool { return l[i].leaseCheckAt < l[k].leaseCheckAt }
func (l leaseHeap) Swap(i, k int) {
	l[i], l[k] = l[k], l[i]
	l[i].leaseIndex, l[k].leaseIndex = i+1, k+1
}
func (l *leaseHeap) Push(x any) { m := x.(*Machine); *l = append(*l, m); m.leaseIndex = len(*l) }
func (l *leaseHeap) Pop() any {
	old := *l
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*l, m.leaseIndex = old[:len(old)-1], 0
	return m
}

// leaseMargin covers timer steps and the state service's slack in ending a lease.
const leaseMargin = 400 * clock.Millisecond

// New makes an empty Fleet for a term that began with the given token. Bookings take
// their room from the ledger.
func New(lease, report clock.Micros, first uint64, ledger *quota.Ledger) *Fleet {
	return &Fleet{quota: ledger, firstToken: first, lease: lease.Stretch(clock.Drift) + leaseMargin, reportInterval: report, machines: map[string]*Machine{},
		machineTypes: map[string]wire.MachineType{}, heartbeats: list.New(), unfenced: map[*Allocation]bool{}, repeatable: map[*Allocation]bool{},
		orphans: map[TaskID]map[*Machine]bool{}}
}

// MachineChanged tells OnMachineChange of a machine of which something changed that matters for placing.
func (f *Fleet) MachineChanged(m *Machine) {
	if f.OnMachineChange != nil {
		f.OnMachineChange(m)
	}
}

func (f *Fleet) capacityChanged(allocation *Allocation, sign int) {
	allocation.Machine.liveCount += sign
	if f.OnCapacityChange != nil {
		f.OnCapacityChange(allocation, allocation.Machine.Zone, sign)
	}
}

// ReportingCount is how many machines have reported under this term and whose lease has not run out.
func (f *Fleet) ReportingCount() int { return f.heartbeats.Len() }

// Len is how many machines are known.
func (f *Fleet) Len() int { return len(f.machines) }

// SetCatalog tells the machine types, and gives machines seen before their size.
func (f *Fleet) SetCatalog(c wire.Catalog) {
	for _, b := range c.MachineTypes {
		f.machineTypes[b.SKU] = b
	}
	for _, m := range f.machines {
		f.setCapacity(m)
	}
}

func (f *Fleet) setCapacity(m *Machine) {
	if b, ok := f.machineTypes[m.Type]; ok && (m.Cores != b.Cores || m.Accelerators != b.Accelerators || m.RAM != b.RAM) {
		m.Cores, m.Accelerators, m.RAM = b.Cores, b.Accelerators, b.RAM
		f.MachineChanged(m)
	}
}

// Describe notes what a machine is and where. What is booked on it counted for
// every zone while that was unknown.
func (f *Fleet) Describe(m *Machine, endpoint, build, zone string, loaned bool) {
	if m.Endpoint == endpoint && m.Type == build && m.Zone == zone && m.Preemptible == loaned {
		return
	}
	m.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, -1)
		}
	})
	m.Endpoint, m.Type, m.Zone, m.Preemptible = endpoint, build, zone, loaned
	m.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.capacityChanged(allocation, 1)
		}
	})
	f.setCapacity(m)
	f.MachineChanged(m)
}

// MachineType looks a machine type up.
func (f *Fleet) MachineType(sku string) (wire.MachineType, bool) {
	b, ok := f.machineTypes[sku]
	return b, ok
}

// Machine looks a machine up.
func (f *Fleet) Machine(name string) *Machine { return f.machines[name] }

// Machines lists all machines by name.
func (f *Fleet) Machines() []*Machine {
	out := make([]*Machine, 0, len(f.machines))
	for _, m := range f.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// EachMachine calls f for every machine, in no order.
func (f *Fleet) EachMachine(do func(m *Machine)) {
	for _, m := range f.machines {
		do(m)
	}
}

// Ensure gives the machine of this name, made now if it was unknown.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	m := f.machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: now, IdleSince: now, Slowness: 1, LeaseEnd: now + f.lease,
			byKey: map[attemptKey]*Allocation{}, Images: map[string]bool{}, orphans: map[attemptKey]orphan{}}
		f.machines[name] = m
	}
	return m
}

// Drop forgets a machine on which nothing can be any more.
func (f *Fleet) Drop(name string) {
	m := f.machines[name]
	if m == nil {
		return
	}
	delete(f.machines, name)
	f.clearOrphans(m)
	if m.heartbeat != nil {
		f.heartbeats.Remove(m.heartbeat)
		m.heartbeat = nil
	}
	if m.leaseIndex > 0 {
		heap.Remove(&f.leases, m.leaseIndex-1)
	}
	f.MachineChanged(m)
}

// watchLease puts a machine that holds bookings among those whose lease is watched.
func (f *Fleet) watchLease(m *Machine) {
	if m.leaseIndex == 0 {
		m.leaseCheckAt = m.LeaseEnd
		heap.Push(&f.leases, m)
	}
}

// Reserve books room for an attempt, unless its team has none left: no task is started
// without a booking, and there is no booking beyond the limit. It is not yet Recorded.
func (f *Fleet) Reserve(m *Machine, allocation *Allocation, now clock.Micros) error {
	reservation, err := f.quota.Reserve(allocation.Team, allocation.amount())
	if err != nil {
		return fmt.Errorf("book %s: %w", allocation.Task, err)
	}
	f.allocate(m, allocation, reservation, now)
	return nil
}

// allocate puts an attempt on the machine's books.
func (f *Fleet) allocate(m *Machine, allocation *Allocation, reservation *quota.Reservation, now clock.Micros) {
	allocation.reservation = reservation
	allocation.Machine = m
	allocation.ReservedAt = now
	allocation.index, allocation.removed = len(m.allocations), false
	m.allocations = append(m.allocations, allocation)
	m.byKey[attemptKey{allocation.Task, allocation.Attempt}] = allocation
	m.UsedCores += allocation.Cores
	m.UsedAccelerators += allocation.Accelerators
	m.UsedRAM += allocation.RAM
	m.IdleSince = 0
	m.unchanged = false
	f.capacityChanged(allocation, 1)
	f.watchLease(m)
	f.MachineChanged(m)
}

// Adopt books an attempt that a predecessor recorded. Any token below this
// term's may still be on its way in a /do, so absence proves nothing until
// the worker has seen this term's.
func (f *Fleet) Adopt(m *Machine, allocation *Allocation, now clock.Micros) {
	f.allocate(m, allocation, f.quota.Adopt(allocation.Team, allocation.amount()), now)
	allocation.Durable, allocation.Adopted = true, true
	f.setUnfenced(allocation, f.firstToken-1, true)
	m.mixedIncarnations = m.mixedIncarnations || m.Incarnation > 0 && m.Incarnation != allocation.Incarnation
	m.Incarnation = max(m.Incarnation, allocation.Incarnation)
	allocation.firstSent = now
}

// MarkDurable notes that an attempt is durable: its run may be sent.
func (f *Fleet) MarkDurable(allocation *Allocation) {
	allocation.Durable = true
	allocation.reservation.MarkRecorded()
}

// setUnfenced notes up to which token a run of b may still arrive at its worker,
// for the first time (open) or once more; zero when none can.
func (f *Fleet) setUnfenced(allocation *Allocation, token uint64, open bool) {
	allocation.unfencedToken = token
	if token > 0 && open {
		f.unfenced[allocation] = true
	} else if token > 0 {
		f.repeatable[allocation] = true
	} else {
		delete(f.unfenced, allocation)
		delete(f.repeatable, allocation)
	}
}

// Remove frees a booking's room, if it still takes any, and forgets it.
func (f *Fleet) Remove(allocation *Allocation, now clock.Micros) {
	f.release(allocation, now)
	m := allocation.Machine
	if allocation.removed {
		return
	}
	allocation.removed = true
	delete(f.unfenced, allocation)
	delete(f.repeatable, allocation)
	if k := (attemptKey{allocation.Task, allocation.Attempt}); m.byKey[k] == allocation {
		delete(m.byKey, k)
	}
	copy(m.allocations[allocation.index:], m.allocations[allocation.index+1:])
	m.allocations[len(m.allocations)-1] = nil
	m.allocations = m.allocations[:len(m.allocations)-1]
	for i := allocation.index; i < len(m.allocations); i++ {
		m.allocations[i].index = i
	}
	m.unchanged = false
	if len(m.allocations) == 0 {
		m.allocations = nil
		if m.IdleSince == 0 {
			m.IdleSince = now
		}
	}
}

func (f *Fleet) release(allocation *Allocation, now clock.Micros) {
	if allocation.Ended {
		return
	}
	allocation.Ended = true
	allocation.reservation.Release()
	m := allocation.Machine
	m.UsedCores = max(0, m.UsedCores-allocation.Cores)
	m.UsedAccelerators = max(0, m.UsedAccelerators-allocation.Accelerators)
	m.UsedRAM = max(0, m.UsedRAM-allocation.RAM)
	m.unchanged = false
	f.capacityChanged(allocation, -1)
	f.reportOverloaded = f.reportOverloaded || len(m.allocations)-m.liveCount > maxUnforgottenResults
	if m.liveCount == 0 {
		// Sums of decimals drift; an empty machine is exactly empty.
		m.UsedCores, m.UsedAccelerators, m.UsedRAM = 0, 0, 0
		if m.IdleSince == 0 {
			m.IdleSince = now
		}
	}
	f.MachineChanged(m)
}

// Event is what a report, an expiry or a return taught about a booking.
type Event struct {
	Allocation *Allocation
	Gone       bool // proved absent without a result; otherwise it ended with Cause
	Started    bool // first seen running
}

// IsNewer tells whether (session, tally) is later than what is known of m.
func (m *Machine) IsNewer(session, tally uint64) bool {
	return session > m.Incarnation || session == m.Incarnation && tally > m.Sequence
}

// Restarted tells whether the worker is a process that began to count from the
// start. Its heartbeats may prove nothing for long, and get no orders then: what it is
// told goes to it directly.
func (m *Machine) Restarted() bool { return m.supersededReports.Incarnation > 0 }

// ambiguous tells whether a heartbeat may be a copy of what an earlier process of the
// worker reported, though it counts higher than the present one has: that began
// to count anew, so its sessions say nothing, and its tallies only once they are
// beyond all that the earlier one can have reached. A question tells.
func (m *Machine) ambiguous(report *wire.Heartbeat) bool {
	return m.Restarted() && (report.Incarnation != m.Incarnation || report.Incarnation == m.supersededReports.Incarnation && report.Sequence <= m.supersededReports.Sequence)
}

// Report takes in a worker's report. viaBeat tells a heartbeat from the body of a
// /do or /show: only a heartbeat proves that the answer to an earlier heartbeat is dead,
// because a worker has one heartbeat in flight and drops answers that come late.
// A report older than what is known changes nothing and gives fresh=false.
//
// A copy of a report may come long after it was made. What it can prove stays
// true however late it is: an end, a newer session, and an absence only under
// the conditions below. That the machine is there now, it cannot prove: see Trusted.
func (f *Fleet) Report(now clock.Micros, report *wire.Heartbeat, viaHeartbeat bool) (events []Event, fresh bool) {
	m := f.Ensure(report.Machine, now)
	if !m.IsNewer(report.Incarnation, report.Sequence) || viaHeartbeat && m.ambiguous(report) {
		return nil, false
	}
	f.Examined++
	f.Describe(m, report.Endpoint, report.MachineType, report.Zone, report.Preemptible)
	if report.Incarnation > m.Incarnation {
		// A new session: the worker has killed all that ran in the ones before.
		// One that ended although it went on reporting, and was answered, either
		// began anew or did not hear the answers: that alone does not tell which.
		if m.Reported && !m.Suspect && viaHeartbeat && m.Incarnation > 0 && now-m.LastHeartbeat < 2*f.reportInterval {
			m.Unacknowledged = max(m.Unacknowledged, maxUnacknowledged-1)
		}
		events = append(events, f.endIncarnationsBefore(m, report.Incarnation, now)...)
		m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
		m.Images = map[string]bool{}
		m.unchanged = false
	}
	if m.mixedIncarnations && report.Token >= f.firstToken {
		// What a predecessor recorded in sessions before this one is gone, too. No
		// copy from before the term shows its token.
		m.mixedIncarnations = false
		events = append(events, f.endIncarnationsBefore(m, report.Incarnation, now)...)
	}
	m.Incarnation, m.Sequence = report.Incarnation, report.Sequence
	// A report made after an answer shows its token, if the answer was heard.
	unheard := viaHeartbeat && (report.Token < m.answeredToken || m.commandFailed)
	if viaHeartbeat {
		m.commandFailed = false
	}
	if report.Token > m.Token {
		m.Token = report.Token
		f.Acknowledged(m)
	}
	warned := clock.Micros(0)
	if report.WarningS != nil {
		warned = now + clock.FromSeconds(*report.WarningS)
	}
	if (warned > 0) != (m.PreemptionAt > 0) {
		f.MachineChanged(m)
	}
	m.PreemptionAt = warned
	if viaHeartbeat {
		f.heartbeatReceived(m, now)
	}
	if m.unchanged && !unheard && report.Token == m.lastTasksToken && bytes.Equal(m.lastTasks, report.RawTasks) && len(report.RawTasks) > 0 {
		return events, true
	}
	if err := report.DecodeTasks(); err != nil {
		return events, true // its task list is not readable: it proves nothing
	}
	shown := make(map[*Allocation]bool, len(report.Tasks))
	before := m.runningOrphans
	f.clearOrphans(m)
	held := len(m.Images)
	for i := range report.Tasks {
		f.Examined++
		p := &report.Tasks[i]
		id, ok := ParseTask(p.Task)
		k := attemptKey{id, p.Attempt}
		var allocation *Allocation
		if ok {
			allocation = m.byKey[k]
		}
		if allocation == nil || allocation.Incarnation != report.Incarnation {
			if ok {
				f.addOrphan(m, k, p.Status)
			}
			continue
		}
		shown[allocation] = true
		if allocation.Status == "" && allocation.firstSent > 0 {
			f.Acknowledged(m)
		}
		allocation.Status = p.Status
		if p.Status != wire.TaskEnded {
			allocation.reservation.MarkRunning()
		}
		if p.Status == wire.TaskRunning && !m.Images[allocation.Image] {
			m.Images[allocation.Image] = true
			f.MachineChanged(m)
		} else if _, known := m.Images[allocation.Image]; !known {
			m.Images[allocation.Image] = false
		}
		if p.Status == wire.TaskRunning && allocation.RunningSince == 0 {
			allocation.RunningSince = now
			f.MachineChanged(m)
			events = append(events, Event{Allocation: allocation, Started: true})
		}
		if p.Status == wire.TaskEnded && !allocation.Ended {
			f.release(allocation, now)
			allocation.Cause = p.Cause
			events = append(events, Event{Allocation: allocation})
		}
	}
	if len(m.Images) != held || m.runningOrphans != before {
		f.MachineChanged(m)
	}
	steady := len(m.orphans) == 0
	m.EachAllocation(func(allocation *Allocation) {
		f.Examined++
		// A higher token voids the copies of a /do that are on their way, of
		// attempts that are shown as well.
		if allocation.unfencedToken > 0 && report.Token > allocation.unfencedToken {
			f.setUnfenced(allocation, 0, false)
		}
		// What has ended is steady too while only a higher token lets it be forgotten.
		steady = steady && shown[allocation] && (allocation.Live() && !allocation.Stopping || allocation.Status == wire.TaskEnded && allocation.unfencedToken > 0)
		if allocation.Incarnation != report.Incarnation || shown[allocation] {
			return
		}
		unheard = unheard || viaHeartbeat && allocation.heartbeatSequence > 0 && report.Sequence > allocation.heartbeatSequence && allocation.Status == "" && !allocation.Ended
		// Not in the report. A /do is dead once the worker has seen a higher token; the answer to a heartbeat is dead once a
		// later heartbeat has come.
		if allocation.mayArrive() {
			return
		}
		if allocation.Ended {
			if allocation.ResultDurable {
				f.Remove(allocation, now)
			}
			return
		}
		if allocation.firstSent == 0 || !viaHeartbeat || report.Sequence <= allocation.heartbeatSequence {
			return
		}
		if allocation.Status == "" && !allocation.Stopping {
			// Never shown: the run was lost, and the next answer carries it again.
			return
		}
		f.release(allocation, now)
		events = append(events, Event{Allocation: allocation, Gone: true})
	})
	m.unchanged = steady
	m.lastTasks, m.lastTasksToken = append(m.lastTasks[:0], report.RawTasks...), report.Token
	if unheard {
		m.Unacknowledged++
		f.MachineChanged(m)
	}
	return events, true
}

// maxUnacknowledged is how many answers in a row without effect make a machine deaf.
const maxUnacknowledged = 3

// Acknowledged notes that something told to the worker took effect.
func (f *Fleet) Acknowledged(m *Machine) {
	if m.Unacknowledged > 0 {
		f.MachineChanged(m)
	}
	m.Unacknowledged, m.commandFailed = 0, false
}

// CommandFailed notes that a direct command did not get through. It is a sign only
// once the worker reports again: a silent machine is not a deaf one.
func (f *Fleet) CommandFailed(m *Machine) { m.commandFailed = true }

// NotAcknowledging tells whether nothing told to the machine takes effect although it reports.
func (m *Machine) NotAcknowledging() bool { return m.Unacknowledged >= maxUnacknowledged }

// heartbeatReceived notes a heartbeat: when, and whether the machine may be trusted on it.
//
// A late copy can be the first report that a new leader sees, or the first
// after a long silence. So a machine is trusted only once it has shown a
// token of this term, which no copy made before it can, or has answered a
// question (see Answers); after a silence, only the latter will do.
func (f *Fleet) heartbeatReceived(m *Machine, now clock.Micros) {
	if m.Reported && now-m.LastHeartbeat > 2*f.reportInterval && !m.Suspect {
		m.Suspect = true
		f.MachineChanged(m)
	}
	if m.Suspect || m.Token < f.firstToken {
		return
	}
	f.trust(m, now)
}

// trust notes that a machine is there now: it has shown a token of this
// term, or answered a question of it.
func (f *Fleet) trust(m *Machine, now clock.Micros) {
	if !m.Reported {
		m.Reported = true
		f.MachineChanged(m)
	}
	m.UnansweredProbes = 0
	if m.Unresponsive {
		m.Unresponsive = false
		m.EachAllocation(func(allocation *Allocation) {
			if allocation.Status != "" {
				allocation.reservation.MarkRunning()
			}
		})
		f.MachineChanged(m)
	}
	m.LastHeartbeat = now
	if m.heartbeat == nil {
		m.heartbeat = f.heartbeats.PushBack(m)
	} else {
		f.heartbeats.MoveToBack(m.heartbeat)
	}
}

// ProbeAnswered takes in the report with which a worker answered a question, asked
// when its reports had come as far as known. Unlike a heartbeat it is surely of now. A worker that names an
// older session or tally than it did before the question is a new process:
// its predecessor's tasks are gone with it, except those that a copy of a run,
// still on its way, might start in the new one.
func (f *Fleet) ProbeAnswered(now clock.Micros, known wire.ReportVersion, report *wire.Heartbeat) (events []Event) {
	m := f.machines[report.Machine]
	if m == nil {
		return nil
	}
	anew := report.Incarnation < known.Incarnation || report.Incarnation == known.Incarnation && report.Sequence <= known.Sequence
	if anew {
		m.EachAllocation(func(allocation *Allocation) {
			if allocation.mayArrive() {
				return
			}
			if allocation.Live() {
				f.release(allocation, now)
				events = append(events, Event{Allocation: allocation, Gone: true})
			}
			f.Remove(allocation, now)
		})
		if reached := (wire.ReportVersion{Incarnation: m.Incarnation, Sequence: m.Sequence + f.maxUnseenReports()}); reached.Incarnation >= m.supersededReports.Incarnation {
			m.supersededReports = reached
		}
		m.Incarnation, m.Sequence, m.Token = report.Incarnation, 0, report.Token
		m.Images, m.unchanged = map[string]bool{}, false
		m.Reported = m.Reported && report.Token >= f.firstToken
		m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
		// What is in doubt may yet be started by the new process, under its session.
		m.EachAllocation(func(allocation *Allocation) {
			allocation.Incarnation, allocation.Status = report.Incarnation, ""
			allocation.reservation.MarkInDoubt()
		})
		f.MachineChanged(m)
	}
	more, _ := f.Report(now, report, false)
	m.LastHeartbeat = now
	if m.Suspect {
		m.Suspect = false
		f.MachineChanged(m)
	}
	if anew {
		f.heartbeatReceived(m, now) // trusted once it knows the token, so that old commands are void
	} else {
		f.trust(m, now)
	}
	return append(events, more...)
}

// maxUnseenReports is how many reports a worker may have made in a session after the last
// one that was taken in: two a second for as long as its lease goes on without
// an answer, and as many answers to direct commands and questions.
func (f *Fleet) maxUnseenReports() uint64 { return uint64(4 * f.lease / clock.Second) }

// ReportVersion is how far a machine's reports have come.
func (m *Machine) ReportVersion() wire.ReportVersion {
	return wire.ReportVersion{Incarnation: m.Incarnation, Sequence: m.Sequence}
}

// SilentMachines lists the machines whose last heartbeat is older than after, longest silent first.
func (f *Fleet) SilentMachines(now, after clock.Micros) (silent []*Machine) {
	for e := f.heartbeats.Front(); e != nil; e = e.Next() {
		m := e.Value.(*Machine)
		f.Examined++
		if now-m.LastHeartbeat <= after {
			break
		}
		silent = append(silent, m)
	}
	return silent
}

// MarkUnresponsive notes that a machine has fallen silent: nothing is placed on it, and what is
// on it may be gone.
func (f *Fleet) MarkUnresponsive(m *Machine) {
	if m.Unresponsive {
		return
	}
	m.Unresponsive = true
	m.EachAllocation(func(allocation *Allocation) { allocation.reservation.MarkInDoubt() })
	f.MachineChanged(m)
}

// endIncarnationsBefore frees what was booked in sessions before the given one.
func (f *Fleet) endIncarnationsBefore(m *Machine, session uint64, now clock.Micros) (events []Event) {
	m.EachAllocation(func(allocation *Allocation) {
		if allocation.Incarnation >= session {
			return
		}
		f.Examined++
		if allocation.Live() {
			f.release(allocation, now)
			events = append(events, Event{Allocation: allocation, Gone: true})
		}
		f.Remove(allocation, now)
	})
	return events
}

// ExpireLeases frees the bookings of machines whose lease must have run out.
func (f *Fleet) ExpireLeases(now clock.Micros) (events []Event) {
	for len(f.leases) > 0 && f.leases[0].leaseCheckAt < now {
		m := heap.Pop(&f.leases).(*Machine)
		f.Examined++
		if len(m.allocations) == 0 {
			continue
		}
		if now <= m.LeaseEnd {
			f.watchLease(m)
			continue
		}
		events = append(events, f.endIncarnationsBefore(m, m.Incarnation+1, now)...)
		// Its next report may be a copy of one from before.
		m.Reported, m.Suspect = false, m.Suspect || m.Reported
		if m.heartbeat != nil {
			f.heartbeats.Remove(m.heartbeat)
			m.heartbeat = nil
		}
		f.MachineChanged(m)
	}
	return events
}

// LeaseExpired tells whether a machine's last known session must be over: nothing
// may be booked in it any more.
func (m *Machine) LeaseExpired(now clock.Micros) bool { return now > m.LeaseEnd }

// MachineReturned takes in that the cloud has deleted a machine with all that was on it.
func (f *Fleet) MachineReturned(name string, now clock.Micros) (events []Event) {
	m := f.machines[name]
	if m == nil {
		return nil
	}
	events = f.endIncarnationsBefore(m, m.Incarnation+1, now)
	// A recorded booking of a session not reported yet is gone as well.
	m.EachAllocation(func(allocation *Allocation) {
		if allocation.Live() {
			f.release(allocation, now)
			events = append(events, Event{Allocation: allocation, Gone: true})
		}
		f.Remove(allocation, now)
	})
	f.Drop(name)
	return events
}

// HeartbeatAnswered notes that a heartbeat of m is being answered, which extends its lease
// if the answer is heard. That counts even for a copy that comes late.
func (f *Fleet) HeartbeatAnswered(m *Machine, now clock.Micros, token uint64) {
	m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
	m.answeredToken, m.AnsweredAt = token, now
}

// maxCommands keeps an answer to a worker, and a direct command, under 64 KiB.
const maxCommands = 600

// Scope is what a leader may tell workers right now.
type Scope int

// The scopes, each with all of those before it.
const (
	// StopsOnly: it may not order anything new. A stop breaks no rule.
	StopsOnly Scope = iota
	// NoRuns: it may order, but may not know all that was cancelled.
	NoRuns
	// AllCommands.
	AllCommands
)

// Commands lists what a worker should be told. For a heartbeat, the runs in it are
// noted as carried by the answer to the heartbeat of this tally.
func (f *Fleet) Commands(m *Machine, now clock.Micros, viaHeartbeat bool, scope Scope) []wire.Command {
	orders := []wire.Command{}
	if m.unchanged {
		return orders
	}
	if scope == StopsOnly {
		return f.stopCommands(m, now)
	}
	var runs []wire.Command
	for _, k := range sortedKeys(m.orphans) {
		if len(orders) >= maxCommands {
			break
		}
		switch f.decideOrphan(k, m.orphans[k].observation()) {
		case recovery.Stop:
			// It is stopped, then forgotten.
			zero := 0.0
			orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: k.task.String(), Attempt: k.attempt, GraceS: &zero})
		case recovery.Release:
			if viaHeartbeat && m.Token >= f.firstToken {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: k.task.String(), Attempt: k.attempt})
			}
		}
	}
	for _, allocation := range m.allocations {
		f.Examined++
		if len(orders)+len(runs) >= maxCommands {
			break // the next answer goes on from here
		}
		if allocation.Incarnation != m.Incarnation {
			continue
		}
		switch {
		case allocation.Ended:
			if allocation.ResultDurable && !allocation.mayArrive() && allocation.Status == wire.TaskEnded {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			} else if allocation.Status != "" && allocation.Status != wire.TaskEnded {
				// Started once more by a copy, in a new process.
				zero := 0.0
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: allocation.Task.String(), Attempt: allocation.Attempt, GraceS: &zero})
			}
		case allocation.Stopping:
			if allocation.Status != "" && allocation.Status != wire.TaskEnded {
				orders = append(orders, allocation.stopCommand(now))
			}
		case allocation.Durable && scope == AllCommands && allocation.Status == "" && allocation.inFlight == 0 && (viaHeartbeat || !allocation.HeartbeatOnly || m.Restarted()):
			runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: allocation.Task.String(), Attempt: allocation.Attempt})
			if viaHeartbeat {
				allocation.heartbeatSequence = m.Sequence
			}
			if allocation.firstSent == 0 {
				allocation.firstSent = now
			}
		}
	}
	// Stops come first: they make the room that runs need.
	return append(orders, runs...)
}

// stopCommands lists the stops of attempts that are on the machine.
func (f *Fleet) stopCommands(m *Machine, now clock.Micros) []wire.Command {
	orders := []wire.Command{}
	for _, allocation := range m.allocations {
		f.Examined++
		if allocation.Stopping && allocation.Live() && allocation.Incarnation == m.Incarnation && allocation.Status != "" && allocation.Status != wire.TaskEnded && len(orders) < maxCommands {
			orders = append(orders, allocation.stopCommand(now))
		}
	}
	return orders
}

// stopCommand is the command that stops an attempt, with what is left of its leeway.
func (b *Allocation) stopCommand(now clock.Micros) wire.Command {
	left := max(0, b.Grace-(now-b.StopRequestedAt).Seconds())
	return wire.Command{Verb: wire.VerbStop, Task: b.Task.String(), Attempt: b.Attempt, GraceS: &left}
}

func sortedKeys(in map[attemptKey]orphan) []attemptKey {
	keys := make([]attemptKey, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		return cmp.Or(strings.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}

// Stop asks for the end of an attempt. One that was never sent is gone at once.
func (f *Fleet) Stop(allocation *Allocation, leeway float64, now clock.Micros) (gone bool) {
	if allocation.Ended {
		return false
	}
	if allocation.firstSent == 0 {
		f.Remove(allocation, now)
		return true
	}
	if !allocation.Stopping {
		allocation.Stopping, allocation.StopRequestedAt, allocation.Grace = true, now, leeway
		allocation.reservation.MarkStopping()
		allocation.Machine.unchanged = false
		f.MachineChanged(allocation.Machine)
	}
	return false
}

// InFlightCommand is a /do on its way with the runs it carries.
type InFlightCommand struct {
	Machine     *Machine
	Incarnation uint64
	Token       uint64
	Commands    []wire.Command
	runs        []*Allocation
}

// OnlyStops tells whether a flight carries nothing but stops.
func (fl *InFlightCommand) OnlyStops() bool {
	return !slices.ContainsFunc(fl.Commands, func(o wire.Command) bool { return o.Verb != wire.VerbStop })
}

// HasRuns tells whether a flight carries runs.
func (fl *InFlightCommand) HasRuns() bool { return len(fl.runs) > 0 }

// PrepareCommand collects the orders for a /do; nil when there is nothing to say.
func (f *Fleet) PrepareCommand(m *Machine, now clock.Micros, token uint64, scope Scope) *InFlightCommand {
	if m.Endpoint == "" || m.LeaseExpired(now) {
		return nil
	}
	fl := &InFlightCommand{Machine: m, Incarnation: m.Incarnation, Token: token, Commands: f.Commands(m, now, false, scope)}
	if len(fl.Commands) == 0 {
		return nil
	}
	for _, o := range fl.Commands {
		if o.Verb != wire.VerbRun {
			continue
		}
		if id, ok := ParseTask(o.Task); ok {
			allocation := m.byKey[attemptKey{id, o.Attempt}]
			allocation.inFlight++
			fl.runs = append(fl.runs, allocation)
		}
	}
	return fl
}

// Outcome is what is known of a direct command.
type Outcome int

// The outcomes of a direct command.
const (
	// OutcomeUnknown: no definite answer. It may have been executed, or may yet be.
	OutcomeUnknown Outcome = iota
	// OutcomeExecuted: answered. A copy of it may still come, minutes later: after a
	// forget, the worker would take it for a new run under the same token and session.
	OutcomeExecuted
	// OutcomeNotExecuted: it was not executed, and no copy of it can be.
	OutcomeNotExecuted
)

// CommandCompleted takes in the outcome of a /do. Unless it is void, its runs may arrive
// until the worker has seen a higher token or is in a newer session.
func (f *Fleet) CommandCompleted(fl *InFlightCommand, out Outcome) {
	for _, allocation := range fl.runs {
		allocation.inFlight--
		if out != OutcomeNotExecuted && !allocation.removed {
			f.setUnfenced(allocation, max(allocation.unfencedToken, fl.Token), out == OutcomeUnknown)
		}
	}
}

// maxUnforgottenResults is how many results may wait on one worker to be forgotten before a
// higher token is pressing: a report has 64 KiB, and each takes some 60 bytes.
const maxUnforgottenResults = 300

// TakeReportOverloaded tells whether some worker's report is getting long, once.
func (f *Fleet) TakeReportOverloaded() bool {
	was := f.reportOverloaded
	f.reportOverloaded = false
	return was
}

// ResultsAwaitFencing tells whether results wait on workers for a higher token than this
// to be forgotten.
func (f *Fleet) ResultsAwaitFencing(token uint64) bool {
	for allocation := range f.repeatable {
		f.Examined++
		if allocation.Ended && allocation.unfencedToken >= token {
			return true
		}
	}
	return false
}

// UnfencedCount counts bookings with a run that may still arrive at workers that do report.
func (f *Fleet) UnfencedCount(now clock.Micros, token uint64) int {
	n := 0
	for allocation := range f.unfenced {
		f.Examined++
		if m := allocation.Machine; allocation.unfencedToken >= token && m.Reported && now-m.LastHeartbeat <= 3*f.reportInterval {
			n++
		}
	}
	return n
}
