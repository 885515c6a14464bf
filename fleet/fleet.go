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

// Booking is one attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Booking struct {
	Task     TaskID
	Attempt  uint64
	Machine  *Machine
	Session  uint64
	Team     string
	Cores    float64
	Accel    float64
	RAM      float64
	Bundle   string
	Priority wire.Priority
	Loaned   bool
	Stow     float64
	Saves    bool
	Since    clock.Micros // reserved at
	Tag      any          // the leader's own record of the task's job

	// WithHeartbeat: the run goes only with answers to heartbeats. Those die with the next
	// heartbeat, so that nothing need be fenced before results are forgotten, and a
	// machine that runs short tasks reports often anyway.
	WithHeartbeat bool

	Recorded bool         // durable: may be sent
	Adopted  bool         // recorded by a predecessor
	Status   string       // as last reported; empty before the first report
	Running  clock.Micros // first seen running
	Halt     bool         // is to be stopped
	HaltAt   clock.Micros
	Leeway   float64
	Ended    bool // has exited; takes no room any more
	Cause    string
	Settled  bool // the result is durable: the worker may forget

	doubt          uint64 // highest token of a /do run that may arrive, or arrive again
	flying         int    // /do requests with this run now in flight
	heartbeatTally uint64 // highest tally of a heartbeat whose answer carried the run
	firstSent      clock.Micros
	place          int  // its index in the machine's list
	off            bool // no longer in the list

	Urged bool // its halt was sent directly once

	reservation *quota.Reservation // of its team's limit, as long as it may exist
}

// amount is what the attempt takes of its team's limit.
func (b *Booking) amount() quota.Amount { return quota.NewAmount(b.Cores, b.Accel) }

// Reservation is the attempt's part of its team's use.
func (b *Booking) Reservation() *quota.Reservation { return b.reservation }

// Sent tells when the run was first sent; zero if never.
func (b *Booking) Sent() clock.Micros { return b.firstSent }

// Live tells whether the task may be on its machine or may come to be.
func (b *Booking) Live() bool { return !b.Ended }

// copiesOut tells whether a run of this attempt may still arrive at the worker.
func (b *Booking) copiesOut() bool { return b.doubt > 0 || b.flying > 0 }

// Machine is a worker's machine.
type Machine struct {
	Name     string
	Endpoint string
	Build    string
	Zone     string
	Loaned   bool
	Cores    float64 // zero until the catalogue tells
	Accel    float64
	RAM      float64

	Session       uint64
	Tally         uint64
	Token         uint64       // highest the worker has reported
	Reported      bool         // has reported under this term
	LastHeartbeat clock.Micros // received
	AnsweredAt    clock.Micros // when a heartbeat of it was last answered, copies included
	LeaseEnd      clock.Micros // its tasks of Session are dead after this without another answer
	WarnUntil     clock.Micros // spot notice: gone by then; zero when none
	Listed        string       // status in the cloud's list; empty when not listed
	ListedAt      clock.Micros
	FirstSeen     clock.Micros
	IdleFrom      clock.Micros // since when nothing is booked; zero when something is
	Returning     bool         // a return was asked for
	Banned        string       // why repair must empty it; empty when not banned
	Cordoned      bool         // gets nothing new, is to be returned when empty
	FailingUntil  clock.Micros // gets nothing new before: several jobs failed on it, and it is not clear yet which is at fault
	Probing       bool         // is being asked why it is silent
	Mute          int          // such questions in a row without an answer
	Unheard       int          // signs in a row that what it is told takes no effect
	Suspect       bool         // was silent: one report does not make it trusted again
	Hushed        bool         // among the silent ones
	Slow          float64      // observed run time against other machines'; 1 is usual
	SlowN         int

	UsedCores float64
	UsedAccel float64
	UsedRAM   float64

	Images map[string]bool // bundles seen here; true once one was fetched whole

	list         []*Booking // in the order of their reservation
	byKey        map[key]*Booking
	live         int                // bookings that may be on it
	unbooked     map[key]unbooked   // tasks that the last report shows and that are not on the books
	unbookedLive int                // of those, tasks that have not ended
	past         wire.ReportVersion // as far as copies of an earlier process's reports may go, where the worker began to count anew
	mixed        bool               // it adopted bookings of several sessions: those before the one that reports are over
	missed       bool               // a direct command did not get through since the last heartbeat
	told         uint64             // the token in the last answer
	seen         []byte             // the task list of the last report, as it came
	shown        uint64             // the token that it came with
	steady       bool               // that list holds no news and asks for no orders
	dueAt        clock.Micros
	due          int // its index in the fleet's order of lease ends, plus one
	heartbeat    *list.Element
}

// key names an attempt on a machine.
type key struct {
	task    TaskID
	attempt uint64
}

// unbooked is what a report shows of a task that is not on the books.
type unbooked struct{ status string }

func (u unbooked) sign() recovery.Sign {
	if u.status == wire.TaskEnded {
		return recovery.SignEnded
	}
	return recovery.SignRunning
}

// Free is the room that nothing is booked on.
func (m *Machine) Free() (cores, accel, ram float64) {
	return m.Cores - m.UsedCores, m.Accel - m.UsedAccel, m.RAM - m.UsedRAM
}

// Each calls f for every booking on the machine, oldest first. f may remove
// the booking that it is given.
func (m *Machine) Each(f func(b *Booking)) {
	for i := 0; i < len(m.list); {
		b := m.list[i]
		f(b)
		if i < len(m.list) && m.list[i] == b {
			i++
		}
	}
}

// Bookings is how many attempts are on the books, ended ones included.
func (m *Machine) Bookings() int { return len(m.list) }

// LiveCount is how many bookings may be on the machine.
func (m *Machine) LiveCount() int { return m.live }

// Fleet is all machines known to the leader.
type Fleet struct {
	lease      clock.Micros // lease_s stretched for drift, with a margin
	report     clock.Micros
	quota      *quota.Ledger // what teams use: every booking has its part of it
	machines   map[string]*Machine
	builds     map[string]wire.MachineType
	first      uint64 // the term's first token
	due        leases // machines with bookings, by when their lease may run out
	heartbeats *list.List
	doubts     map[*Booking]bool // with a run that went unanswered: it may yet arrive
	repeats    map[*Booking]bool // with a run that was answered: it may arrive again
	crowded    bool              // some machine's report is getting long with results that wait for that to be ruled out

	// Room, if set, is told of every booking that comes to take room (+1) or no
	// longer does (-1), with the zone that it counts for.
	Room func(b *Booking, zone string, sign int)
	// Touched, if set, is told of a machine of which something changed that
	// matters for placing.
	Touched func(m *Machine)
	// Decide, if set, tells what follows for a task that a worker shows and that is not on
	// the books. Where it is not set, such a task is stopped and forgotten.
	Decide func(task TaskID, sign recovery.Sign) recovery.Decision
	// unbooked is where tasks are that are shown and not on the books.
	unbooked map[TaskID]map[*Machine]bool
	// Visits counts machines and bookings looked at, so that tests can bound the work.
	Visits int
}

// leases is a heap of machines by when their lease may run out.
type leases []*Machine

func (l leases) Len() int           { return len(l) }
func (l leases) Less(i, k int) bool { return l[i].dueAt < l[k].dueAt }
func (l leases) Swap(i, k int)      { l[i], l[k] = l[k], l[i]; l[i].due, l[k].due = i+1, k+1 }
func (l *leases) Push(x any)        { m := x.(*Machine); *l = append(*l, m); m.due = len(*l) }
func (l *leases) Pop() any {
	old := *l
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*l, m.due = old[:len(old)-1], 0
	return m
}

// leaseMargin covers timer steps and the state service's slack in ending a lease.
const leaseMargin = 400 * clock.Millisecond

// New makes an empty Fleet for a term that began with the given token. Bookings take
// their room from the ledger.
func New(lease, report clock.Micros, first uint64, ledger *quota.Ledger) *Fleet {
	return &Fleet{quota: ledger, first: first, lease: lease.Stretch(clock.Drift) + leaseMargin, report: report, machines: map[string]*Machine{},
		builds: map[string]wire.MachineType{}, heartbeats: list.New(), doubts: map[*Booking]bool{}, repeats: map[*Booking]bool{},
		unbooked: map[TaskID]map[*Machine]bool{}}
}

func (f *Fleet) touch(m *Machine) {
	if f.Touched != nil {
		f.Touched(m)
	}
}

func (f *Fleet) room(b *Booking, sign int) {
	b.Machine.live += sign
	if f.Room != nil {
		f.Room(b, b.Machine.Zone, sign)
	}
}

// Reporting is how many machines have reported under this term and whose lease has not run out.
func (f *Fleet) Reporting() int { return f.heartbeats.Len() }

// Len is how many machines are known.
func (f *Fleet) Len() int { return len(f.machines) }

// SetCatalog tells the machine types, and gives machines seen before their size.
func (f *Fleet) SetCatalog(c wire.Catalog) {
	for _, b := range c.MachineTypes {
		f.builds[b.SKU] = b
	}
	for _, m := range f.machines {
		f.size(m)
	}
}

func (f *Fleet) size(m *Machine) {
	if b, ok := f.builds[m.Build]; ok && (m.Cores != b.Cores || m.Accel != b.Accelerators || m.RAM != b.RAM) {
		m.Cores, m.Accel, m.RAM = b.Cores, b.Accelerators, b.RAM
		f.touch(m)
	}
}

// Place notes what a machine is and where. What is booked on it counted for
// every zone while that was unknown.
func (f *Fleet) Place(m *Machine, endpoint, build, zone string, loaned bool) {
	if m.Endpoint == endpoint && m.Build == build && m.Zone == zone && m.Loaned == loaned {
		return
	}
	m.Each(func(b *Booking) {
		if b.Live() {
			f.room(b, -1)
		}
	})
	m.Endpoint, m.Build, m.Zone, m.Loaned = endpoint, build, zone, loaned
	m.Each(func(b *Booking) {
		if b.Live() {
			f.room(b, 1)
		}
	})
	f.size(m)
	f.touch(m)
}

// Build looks a machine type up.
func (f *Fleet) Build(sku string) (wire.MachineType, bool) { b, ok := f.builds[sku]; return b, ok }

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

// All calls f for every machine, in no order.
func (f *Fleet) All(do func(m *Machine)) {
	for _, m := range f.machines {
		do(m)
	}
}

// Ensure gives the machine of this name, made now if it was unknown.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	m := f.machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: now, IdleFrom: now, Slow: 1, LeaseEnd: now + f.lease,
			byKey: map[key]*Booking{}, Images: map[string]bool{}, unbooked: map[key]unbooked{}}
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
	f.clearUnbooked(m)
	if m.heartbeat != nil {
		f.heartbeats.Remove(m.heartbeat)
		m.heartbeat = nil
	}
	if m.due > 0 {
		heap.Remove(&f.due, m.due-1)
	}
	f.touch(m)
}

// watch puts a machine that holds bookings among those whose lease is watched.
func (f *Fleet) watch(m *Machine) {
	if m.due == 0 {
		m.dueAt = m.LeaseEnd
		heap.Push(&f.due, m)
	}
}

// Reserve books room for an attempt, unless its team has none left: no task is started
// without a booking, and there is no booking beyond the limit. It is not yet Recorded.
func (f *Fleet) Reserve(m *Machine, b *Booking, now clock.Micros) error {
	reservation, err := f.quota.Reserve(b.Team, b.amount())
	if err != nil {
		return fmt.Errorf("book %s: %w", b.Task, err)
	}
	f.book(m, b, reservation, now)
	return nil
}

// book puts an attempt on the machine's books.
func (f *Fleet) book(m *Machine, b *Booking, reservation *quota.Reservation, now clock.Micros) {
	b.reservation = reservation
	b.Machine = m
	b.Since = now
	b.place, b.off = len(m.list), false
	m.list = append(m.list, b)
	m.byKey[key{b.Task, b.Attempt}] = b
	m.UsedCores += b.Cores
	m.UsedAccel += b.Accel
	m.UsedRAM += b.RAM
	m.IdleFrom = 0
	m.steady = false
	f.room(b, 1)
	f.watch(m)
	f.touch(m)
}

// Adopt books an attempt that a predecessor recorded. Any token below this
// term's may still be on its way in a /do, so absence proves nothing until
// the worker has seen this term's.
func (f *Fleet) Adopt(m *Machine, b *Booking, now clock.Micros) {
	f.book(m, b, f.quota.Adopt(b.Team, b.amount()), now)
	b.Recorded, b.Adopted = true, true
	f.setDoubt(b, f.first-1, true)
	m.mixed = m.mixed || m.Session > 0 && m.Session != b.Session
	m.Session = max(m.Session, b.Session)
	b.firstSent = now
}

// Confirm notes that an attempt is durable: its run may be sent.
func (f *Fleet) Confirm(b *Booking) {
	b.Recorded = true
	b.reservation.Confirm()
}

// setDoubt notes up to which token a run of b may still arrive at its worker,
// for the first time (open) or once more; zero when none can.
func (f *Fleet) setDoubt(b *Booking, token uint64, open bool) {
	b.doubt = token
	if token > 0 && open {
		f.doubts[b] = true
	} else if token > 0 {
		f.repeats[b] = true
	} else {
		delete(f.doubts, b)
		delete(f.repeats, b)
	}
}

// Remove frees a booking's room, if it still takes any, and forgets it.
func (f *Fleet) Remove(b *Booking, now clock.Micros) {
	f.release(b, now)
	m := b.Machine
	if b.off {
		return
	}
	b.off = true
	delete(f.doubts, b)
	delete(f.repeats, b)
	if k := (key{b.Task, b.Attempt}); m.byKey[k] == b {
		delete(m.byKey, k)
	}
	copy(m.list[b.place:], m.list[b.place+1:])
	m.list[len(m.list)-1] = nil
	m.list = m.list[:len(m.list)-1]
	for i := b.place; i < len(m.list); i++ {
		m.list[i].place = i
	}
	m.steady = false
	if len(m.list) == 0 {
		m.list = nil
		if m.IdleFrom == 0 {
			m.IdleFrom = now
		}
	}
}

func (f *Fleet) release(b *Booking, now clock.Micros) {
	if b.Ended {
		return
	}
	b.Ended = true
	b.reservation.Release()
	m := b.Machine
	m.UsedCores = max(0, m.UsedCores-b.Cores)
	m.UsedAccel = max(0, m.UsedAccel-b.Accel)
	m.UsedRAM = max(0, m.UsedRAM-b.RAM)
	m.steady = false
	f.room(b, -1)
	f.crowded = f.crowded || len(m.list)-m.live > crowd
	if m.live == 0 {
		// Sums of decimals drift; an empty machine is exactly empty.
		m.UsedCores, m.UsedAccel, m.UsedRAM = 0, 0, 0
		if m.IdleFrom == 0 {
			m.IdleFrom = now
		}
	}
	f.touch(m)
}

// News is what a report, an expiry or a return taught about a booking.
type News struct {
	Booking *Booking
	Gone    bool // proved absent without a result; otherwise it ended with Cause
	Started bool // first seen running
}

// Newer tells whether (session, tally) is later than what is known of m.
func (m *Machine) Newer(session, tally uint64) bool {
	return session > m.Session || session == m.Session && tally > m.Tally
}

// CountsAnew tells whether the worker is a process that began to count from the
// start. Its heartbeats may prove nothing for long, and get no orders then: what it is
// told goes to it directly.
func (m *Machine) CountsAnew() bool { return m.past.Incarnation > 0 }

// ambiguous tells whether a heartbeat may be a copy of what an earlier process of the
// worker reported, though it counts higher than the present one has: that began
// to count anew, so its sessions say nothing, and its tallies only once they are
// beyond all that the earlier one can have reached. A question tells.
func (m *Machine) ambiguous(rep *wire.Heartbeat) bool {
	return m.CountsAnew() && (rep.Incarnation != m.Session || rep.Incarnation == m.past.Incarnation && rep.Sequence <= m.past.Sequence)
}

// Report takes in a worker's report. viaBeat tells a heartbeat from the body of a
// /do or /show: only a heartbeat proves that the answer to an earlier heartbeat is dead,
// because a worker has one heartbeat in flight and drops answers that come late.
// A report older than what is known changes nothing and gives fresh=false.
//
// A copy of a report may come long after it was made. What it can prove stays
// true however late it is: an end, a newer session, and an absence only under
// the conditions below. That the machine is there now, it cannot prove: see Trusted.
func (f *Fleet) Report(now clock.Micros, rep *wire.Heartbeat, viaHeartbeat bool) (news []News, fresh bool) {
	m := f.Ensure(rep.Machine, now)
	if !m.Newer(rep.Incarnation, rep.Sequence) || viaHeartbeat && m.ambiguous(rep) {
		return nil, false
	}
	f.Visits++
	f.Place(m, rep.Endpoint, rep.MachineType, rep.Zone, rep.Preemptible)
	if rep.Incarnation > m.Session {
		// A new session: the worker has killed all that ran in the ones before.
		// One that ended although it went on reporting, and was answered, either
		// began anew or did not hear the answers: that alone does not tell which.
		if m.Reported && !m.Suspect && viaHeartbeat && m.Session > 0 && now-m.LastHeartbeat < 2*f.report {
			m.Unheard = max(m.Unheard, deafSigns-1)
		}
		news = append(news, f.dropSessions(m, rep.Incarnation, now)...)
		m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
		m.Images = map[string]bool{}
		m.steady = false
	}
	if m.mixed && rep.Token >= f.first {
		// What a predecessor recorded in sessions before this one is gone, too. No
		// copy from before the term shows its token.
		m.mixed = false
		news = append(news, f.dropSessions(m, rep.Incarnation, now)...)
	}
	m.Session, m.Tally = rep.Incarnation, rep.Sequence
	// A report made after an answer shows its token, if the answer was heard.
	unheard := viaHeartbeat && (rep.Token < m.told || m.missed)
	if viaHeartbeat {
		m.missed = false
	}
	if rep.Token > m.Token {
		m.Token = rep.Token
		f.Obeyed(m)
	}
	warned := clock.Micros(0)
	if rep.WarningS != nil {
		warned = now + clock.FromSeconds(*rep.WarningS)
	}
	if (warned > 0) != (m.WarnUntil > 0) {
		f.touch(m)
	}
	m.WarnUntil = warned
	if viaHeartbeat {
		f.heard(m, now)
	}
	if m.steady && !unheard && rep.Token == m.shown && bytes.Equal(m.seen, rep.RawTasks) && len(rep.RawTasks) > 0 {
		return news, true
	}
	if err := rep.DecodeTasks(); err != nil {
		return news, true // its task list is not readable: it proves nothing
	}
	shown := make(map[*Booking]bool, len(rep.Tasks))
	before := m.unbookedLive
	f.clearUnbooked(m)
	held := len(m.Images)
	for i := range rep.Tasks {
		f.Visits++
		p := &rep.Tasks[i]
		id, ok := ParseTask(p.Task)
		k := key{id, p.Attempt}
		var b *Booking
		if ok {
			b = m.byKey[k]
		}
		if b == nil || b.Session != rep.Incarnation {
			if ok {
				f.addUnbooked(m, k, p.Status)
			}
			continue
		}
		shown[b] = true
		if b.Status == "" && b.firstSent > 0 {
			f.Obeyed(m)
		}
		b.Status = p.Status
		if p.Status != wire.TaskEnded {
			b.reservation.Shown()
		}
		if p.Status == wire.TaskRunning && !m.Images[b.Bundle] {
			m.Images[b.Bundle] = true
			f.touch(m)
		} else if _, known := m.Images[b.Bundle]; !known {
			m.Images[b.Bundle] = false
		}
		if p.Status == wire.TaskRunning && b.Running == 0 {
			b.Running = now
			f.touch(m)
			news = append(news, News{Booking: b, Started: true})
		}
		if p.Status == wire.TaskEnded && !b.Ended {
			f.release(b, now)
			b.Cause = p.Cause
			news = append(news, News{Booking: b})
		}
	}
	if len(m.Images) != held || m.unbookedLive != before {
		f.touch(m)
	}
	steady := len(m.unbooked) == 0
	m.Each(func(b *Booking) {
		f.Visits++
		// A higher token voids the copies of a /do that are on their way, of
		// attempts that are shown as well.
		if b.doubt > 0 && rep.Token > b.doubt {
			f.setDoubt(b, 0, false)
		}
		// What has ended is steady too while only a higher token lets it be forgotten.
		steady = steady && shown[b] && (b.Live() && !b.Halt || b.Status == wire.TaskEnded && b.doubt > 0)
		if b.Session != rep.Incarnation || shown[b] {
			return
		}
		unheard = unheard || viaHeartbeat && b.heartbeatTally > 0 && rep.Sequence > b.heartbeatTally && b.Status == "" && !b.Ended
		// Not in the report. A /do is dead once the worker has seen a higher token; the answer to a heartbeat is dead once a
		// later heartbeat has come.
		if b.copiesOut() {
			return
		}
		if b.Ended {
			if b.Settled {
				f.Remove(b, now)
			}
			return
		}
		if b.firstSent == 0 || !viaHeartbeat || rep.Sequence <= b.heartbeatTally {
			return
		}
		if b.Status == "" && !b.Halt {
			// Never shown: the run was lost, and the next answer carries it again.
			return
		}
		f.release(b, now)
		news = append(news, News{Booking: b, Gone: true})
	})
	m.steady = steady
	m.seen, m.shown = append(m.seen[:0], rep.RawTasks...), rep.Token
	if unheard {
		m.Unheard++
		f.touch(m)
	}
	return news, true
}

// deafSigns is how many answers in a row without effect make a machine deaf.
const deafSigns = 3

// Obeyed notes that something told to the worker took effect.
func (f *Fleet) Obeyed(m *Machine) {
	if m.Unheard > 0 {
		f.touch(m)
	}
	m.Unheard, m.missed = 0, false
}

// Missed notes that a direct command did not get through. It is a sign only
// once the worker reports again: a silent machine is not a deaf one.
func (f *Fleet) Missed(m *Machine) { m.missed = true }

// Deaf tells whether nothing told to the machine takes effect although it reports.
func (m *Machine) Deaf() bool { return m.Unheard >= deafSigns }

// heard notes a heartbeat: when, and whether the machine may be trusted on it.
//
// A late copy can be the first report that a new leader sees, or the first
// after a long silence. So a machine is trusted only once it has shown a
// token of this term, which no copy made before it can, or has answered a
// question (see Answers); after a silence, only the latter will do.
func (f *Fleet) heard(m *Machine, now clock.Micros) {
	if m.Reported && now-m.LastHeartbeat > 2*f.report && !m.Suspect {
		m.Suspect = true
		f.touch(m)
	}
	if m.Suspect || m.Token < f.first {
		return
	}
	f.trust(m, now)
}

// trust notes that a machine is there now: it has shown a token of this
// term, or answered a question of it.
func (f *Fleet) trust(m *Machine, now clock.Micros) {
	if !m.Reported {
		m.Reported = true
		f.touch(m)
	}
	m.Mute = 0
	if m.Hushed {
		m.Hushed = false
		m.Each(func(b *Booking) {
			if b.Status != "" {
				b.reservation.Shown()
			}
		})
		f.touch(m)
	}
	m.LastHeartbeat = now
	if m.heartbeat == nil {
		m.heartbeat = f.heartbeats.PushBack(m)
	} else {
		f.heartbeats.MoveToBack(m.heartbeat)
	}
}

// Answers takes in the report with which a worker answered a question, asked
// when its reports had come as far as known. Unlike a heartbeat it is surely of now. A worker that names an
// older session or tally than it did before the question is a new process:
// its predecessor's tasks are gone with it, except those that a copy of a run,
// still on its way, might start in the new one.
func (f *Fleet) Answers(now clock.Micros, known wire.ReportVersion, rep *wire.Heartbeat) (news []News) {
	m := f.machines[rep.Machine]
	if m == nil {
		return nil
	}
	anew := rep.Incarnation < known.Incarnation || rep.Incarnation == known.Incarnation && rep.Sequence <= known.Sequence
	if anew {
		m.Each(func(b *Booking) {
			if b.copiesOut() {
				return
			}
			if b.Live() {
				f.release(b, now)
				news = append(news, News{Booking: b, Gone: true})
			}
			f.Remove(b, now)
		})
		if reached := (wire.ReportVersion{Incarnation: m.Session, Sequence: m.Tally + f.unseen()}); reached.Incarnation >= m.past.Incarnation {
			m.past = reached
		}
		m.Session, m.Tally, m.Token = rep.Incarnation, 0, rep.Token
		m.Images, m.steady = map[string]bool{}, false
		m.Reported = m.Reported && rep.Token >= f.first
		m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
		// What is in doubt may yet be started by the new process, under its session.
		m.Each(func(b *Booking) {
			b.Session, b.Status = rep.Incarnation, ""
			b.reservation.Doubt()
		})
		f.touch(m)
	}
	more, _ := f.Report(now, rep, false)
	m.LastHeartbeat = now
	if m.Suspect {
		m.Suspect = false
		f.touch(m)
	}
	if anew {
		f.heard(m, now) // trusted once it knows the token, so that old commands are void
	} else {
		f.trust(m, now)
	}
	return append(news, more...)
}

// unseen is how many reports a worker may have made in a session after the last
// one that was taken in: two a second for as long as its lease goes on without
// an answer, and as many answers to direct commands and questions.
func (f *Fleet) unseen() uint64 { return uint64(4 * f.lease / clock.Second) }

// Mark is how far a machine's reports have come.
func (m *Machine) Mark() wire.ReportVersion {
	return wire.ReportVersion{Incarnation: m.Session, Sequence: m.Tally}
}

// Hush lists the machines whose last heartbeat is older than after, longest silent first.
func (f *Fleet) Hush(now, after clock.Micros) (silent []*Machine) {
	for e := f.heartbeats.Front(); e != nil; e = e.Next() {
		m := e.Value.(*Machine)
		f.Visits++
		if now-m.LastHeartbeat <= after {
			break
		}
		silent = append(silent, m)
	}
	return silent
}

// Silence notes that a machine has fallen silent: nothing is placed on it, and what is
// on it may be gone.
func (f *Fleet) Silence(m *Machine) {
	if m.Hushed {
		return
	}
	m.Hushed = true
	m.Each(func(b *Booking) { b.reservation.Doubt() })
	f.touch(m)
}

// dropSessions frees what was booked in sessions before the given one.
func (f *Fleet) dropSessions(m *Machine, session uint64, now clock.Micros) (news []News) {
	m.Each(func(b *Booking) {
		if b.Session >= session {
			return
		}
		f.Visits++
		if b.Live() {
			f.release(b, now)
			news = append(news, News{Booking: b, Gone: true})
		}
		f.Remove(b, now)
	})
	return news
}

// Expire frees the bookings of machines whose lease must have run out.
func (f *Fleet) Expire(now clock.Micros) (news []News) {
	for len(f.due) > 0 && f.due[0].dueAt < now {
		m := heap.Pop(&f.due).(*Machine)
		f.Visits++
		if len(m.list) == 0 {
			continue
		}
		if now <= m.LeaseEnd {
			f.watch(m)
			continue
		}
		news = append(news, f.dropSessions(m, m.Session+1, now)...)
		// Its next report may be a copy of one from before.
		m.Reported, m.Suspect = false, m.Suspect || m.Reported
		if m.heartbeat != nil {
			f.heartbeats.Remove(m.heartbeat)
			m.heartbeat = nil
		}
		f.touch(m)
	}
	return news
}

// Lapsed tells whether a machine's last known session must be over: nothing
// may be booked in it any more.
func (m *Machine) Lapsed(now clock.Micros) bool { return now > m.LeaseEnd }

// Returned takes in that the cloud has deleted a machine with all that was on it.
func (f *Fleet) Returned(name string, now clock.Micros) (news []News) {
	m := f.machines[name]
	if m == nil {
		return nil
	}
	news = f.dropSessions(m, m.Session+1, now)
	// A recorded booking of a session not reported yet is gone as well.
	m.Each(func(b *Booking) {
		if b.Live() {
			f.release(b, now)
			news = append(news, News{Booking: b, Gone: true})
		}
		f.Remove(b, now)
	})
	f.Drop(name)
	return news
}

// Answered notes that a heartbeat of m is being answered, which extends its lease
// if the answer is heard. That counts even for a copy that comes late.
func (f *Fleet) Answered(m *Machine, now clock.Micros, token uint64) {
	m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
	m.told, m.AnsweredAt = token, now
}

// maxOrders keeps an answer to a worker, and a direct command, under 64 KiB.
const maxOrders = 600

// Scope is what a leader may tell workers right now.
type Scope int

// The scopes, each with all of those before it.
const (
	// OnlyHalts: it may not order anything new. A stop breaks no rule.
	OnlyHalts Scope = iota
	// NoRuns: it may order, but may not know all that was cancelled.
	NoRuns
	// Everything.
	Everything
)

// Orders lists what a worker should be told. For a heartbeat, the runs in it are
// noted as carried by the answer to the heartbeat of this tally.
func (f *Fleet) Orders(m *Machine, now clock.Micros, viaHeartbeat bool, scope Scope) []wire.Command {
	orders := []wire.Command{}
	if m.steady {
		return orders
	}
	if scope == OnlyHalts {
		return f.halts(m, now)
	}
	var runs []wire.Command
	for _, k := range sorted(m.unbooked) {
		if len(orders) >= maxOrders {
			break
		}
		switch f.decide(k, m.unbooked[k].sign()) {
		case recovery.Stop:
			// It is stopped, then forgotten.
			zero := 0.0
			orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: k.task.String(), Attempt: k.attempt, GraceS: &zero})
		case recovery.Release:
			if viaHeartbeat && m.Token >= f.first {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: k.task.String(), Attempt: k.attempt})
			}
		}
	}
	for _, b := range m.list {
		f.Visits++
		if len(orders)+len(runs) >= maxOrders {
			break // the next answer goes on from here
		}
		if b.Session != m.Session {
			continue
		}
		switch {
		case b.Ended:
			if b.Settled && !b.copiesOut() && b.Status == wire.TaskEnded {
				orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: b.Task.String(), Attempt: b.Attempt})
			} else if b.Status != "" && b.Status != wire.TaskEnded {
				// Started once more by a copy, in a new process.
				zero := 0.0
				orders = append(orders, wire.Command{Verb: wire.VerbStop, Task: b.Task.String(), Attempt: b.Attempt, GraceS: &zero})
			}
		case b.Halt:
			if b.Status != "" && b.Status != wire.TaskEnded {
				orders = append(orders, b.halt(now))
			}
		case b.Recorded && scope == Everything && b.Status == "" && b.flying == 0 && (viaHeartbeat || !b.WithHeartbeat || m.CountsAnew()):
			runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: b.Task.String(), Attempt: b.Attempt})
			if viaHeartbeat {
				b.heartbeatTally = m.Tally
			}
			if b.firstSent == 0 {
				b.firstSent = now
			}
		}
	}
	// Stops come first: they make the room that runs need.
	return append(orders, runs...)
}

// halts lists the stops of attempts that are on the machine.
func (f *Fleet) halts(m *Machine, now clock.Micros) []wire.Command {
	orders := []wire.Command{}
	for _, b := range m.list {
		f.Visits++
		if b.Halt && b.Live() && b.Session == m.Session && b.Status != "" && b.Status != wire.TaskEnded && len(orders) < maxOrders {
			orders = append(orders, b.halt(now))
		}
	}
	return orders
}

// halt is the command that stops an attempt, with what is left of its leeway.
func (b *Booking) halt(now clock.Micros) wire.Command {
	left := max(0, b.Leeway-(now-b.HaltAt).Seconds())
	return wire.Command{Verb: wire.VerbStop, Task: b.Task.String(), Attempt: b.Attempt, GraceS: &left}
}

func sorted(in map[key]unbooked) []key {
	keys := make([]key, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(strings.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}

// Stop asks for the end of an attempt. One that was never sent is gone at once.
func (f *Fleet) Stop(b *Booking, leeway float64, now clock.Micros) (gone bool) {
	if b.Ended {
		return false
	}
	if b.firstSent == 0 {
		f.Remove(b, now)
		return true
	}
	if !b.Halt {
		b.Halt, b.HaltAt, b.Leeway = true, now, leeway
		b.reservation.Stop()
		b.Machine.steady = false
		f.touch(b.Machine)
	}
	return false
}

// Flight is a /do on its way with the runs it carries.
type Flight struct {
	Machine *Machine
	Session uint64
	Token   uint64
	Orders  []wire.Command
	runs    []*Booking
}

// Stops tells whether a flight carries nothing but stops.
func (fl *Flight) Stops() bool {
	return !slices.ContainsFunc(fl.Orders, func(o wire.Command) bool { return o.Verb != wire.VerbStop })
}

// Runs tells whether a flight carries runs.
func (fl *Flight) Runs() bool { return len(fl.runs) > 0 }

// Launch collects the orders for a /do; nil when there is nothing to say.
func (f *Fleet) Launch(m *Machine, now clock.Micros, token uint64, scope Scope) *Flight {
	if m.Endpoint == "" || m.Lapsed(now) {
		return nil
	}
	fl := &Flight{Machine: m, Session: m.Session, Token: token, Orders: f.Orders(m, now, false, scope)}
	if len(fl.Orders) == 0 {
		return nil
	}
	for _, o := range fl.Orders {
		if o.Verb != wire.VerbRun {
			continue
		}
		if id, ok := ParseTask(o.Task); ok {
			b := m.byKey[key{id, o.Attempt}]
			b.flying++
			fl.runs = append(fl.runs, b)
		}
	}
	return fl
}

// Outcome is what is known of a direct command.
type Outcome int

// The outcomes of a direct command.
const (
	// Open: no definite answer. It may have been executed, or may yet be.
	Open Outcome = iota
	// Executed: answered. A copy of it may still come, minutes later: after a
	// forget, the worker would take it for a new run under the same token and session.
	Executed
	// Void: it was not executed, and no copy of it can be.
	Void
)

// Landed takes in the outcome of a /do. Unless it is void, its runs may arrive
// until the worker has seen a higher token or is in a newer session.
func (f *Fleet) Landed(fl *Flight, out Outcome) {
	for _, b := range fl.runs {
		b.flying--
		if out != Void && !b.off {
			f.setDoubt(b, max(b.doubt, fl.Token), out == Open)
		}
	}
}

// crowd is how many results may wait on one worker to be forgotten before a
// higher token is pressing: a report has 64 KiB, and each takes some 60 bytes.
const crowd = 300

// Crowded tells whether some worker's report is getting long, once.
func (f *Fleet) Crowded() bool {
	was := f.crowded
	f.crowded = false
	return was
}

// Repeats tells whether results wait on workers for a higher token than this
// to be forgotten.
func (f *Fleet) Repeats(token uint64) bool {
	for b := range f.repeats {
		f.Visits++
		if b.Ended && b.doubt >= token {
			return true
		}
	}
	return false
}

// Doubts counts bookings with a run that may still arrive at workers that do report.
func (f *Fleet) Doubts(now clock.Micros, token uint64) int {
	n := 0
	for b := range f.doubts {
		f.Visits++
		if m := b.Machine; b.doubt >= token && m.Reported && now-m.LastHeartbeat <= 3*f.report {
			n++
		}
	}
	return n
}
