// Package fleet keeps what is known of machines, their sessions and the tasks
// booked on them. It alone says whether a task may still exist somewhere: a
// booking is freed by proof, never by a guess. It does no I/O and has no lock;
// the leader's own lock guards it.
package fleet

import (
	"sort"
	"strconv"
	"strings"

	"cedardoor/clock"
	"cedardoor/wire"
)

// PieceID names a task.
type PieceID struct {
	Job   string
	Index int
}

// String gives the protocol's form.
func (p PieceID) String() string { return p.Job + "/" + strconv.Itoa(p.Index) }

// ParsePiece reads the protocol's form.
func ParsePiece(s string) (PieceID, bool) {
	job, num, found := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !found || err != nil || n < 0 || !wire.ValidUID(job) {
		return PieceID{}, false
	}
	return PieceID{Job: job, Index: n}, true
}

// Booking is one attempt of a task on a machine, from its reservation until
// the worker has forgotten it.
type Booking struct {
	Piece   PieceID
	Try     uint64
	Machine *Machine
	Tenure  uint64
	Cores   float64
	Accel   float64
	RAM     float64
	Bundle  string
	Rank    wire.Rank
	Loaned  bool
	Stow    float64
	Saves   bool
	Since   clock.Micros // reserved at

	Recorded bool         // durable: may be sent
	Adopted  bool         // recorded by a predecessor
	Status   string       // as last reported; empty before the first report
	Running  clock.Micros // first seen running
	Halt     bool         // is to be stopped
	HaltAt   clock.Micros
	Leeway   float64
	Ended    bool // has exited; takes no room any more
	Cause    string
	Kept     bool
	Settled  bool // the result is durable: the worker may forget

	doubt     uint64 // highest warrant of a /do run without a definite answer
	flying    int    // /do requests with this run now in flight
	beatTally uint64 // highest tally of a beat whose answer carried the run
	firstSent clock.Micros

	Urged bool // its halt was sent directly once
}

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
	Yard     string
	Loaned   bool
	Cores    float64 // zero until the catalogue tells
	Accel    float64
	RAM      float64

	Tenure    uint64
	Tally     uint64
	Warrant   uint64       // highest the worker has reported
	Beaten    bool         // has reported under this reign
	LastBeat  clock.Micros // received
	LeaseEnd  clock.Micros // its tasks of Tenure are dead after this without another answer
	WarnUntil clock.Micros // spot notice: gone by then; zero when none
	Listed    string       // status in the cloud's list; empty when not listed
	ListedAt  clock.Micros
	FirstSeen clock.Micros
	BootedAt  clock.Micros // first beat
	IdleFrom  clock.Micros // since when nothing is booked; zero when something is
	Returning bool         // a return was asked for
	Banned    string       // why repair must empty it; empty when not banned
	Cordoned  bool         // gets nothing new, is to be returned when empty
	Strikes   int          // errors in a row
	Probing   bool         // is being asked why it is silent
	Deaf      int          // such questions in a row without an answer
	Slow      float64      // observed run time against other machines'; 1 is usual
	SlowN     int

	UsedCores float64
	UsedAccel float64
	UsedRAM   float64

	Bookings map[PieceID]map[uint64]*Booking
	Images   map[string]bool // bundles seen here; true once one was fetched whole
	strays   map[string]stray
}

type stray struct {
	piece string
	try   uint64
	ended bool
}

// Free is the room that nothing is booked on.
func (m *Machine) Free() (cores, accel, ram float64) {
	return m.Cores - m.UsedCores, m.Accel - m.UsedAccel, m.RAM - m.UsedRAM
}

// Each calls f for every booking on the machine, in a fixed order.
func (m *Machine) Each(f func(b *Booking)) {
	list := make([]*Booking, 0, len(m.Bookings))
	for _, tries := range m.Bookings {
		for _, b := range tries {
			list = append(list, b)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Piece.Job != b.Piece.Job {
			return a.Piece.Job < b.Piece.Job
		}
		if a.Piece.Index != b.Piece.Index {
			return a.Piece.Index < b.Piece.Index
		}
		return a.Try < b.Try
	})
	for _, b := range list {
		f(b)
	}
}

// LiveCount is how many bookings may be on the machine.
func (m *Machine) LiveCount() int {
	n := 0
	for _, tries := range m.Bookings {
		for _, b := range tries {
			if b.Live() {
				n++
			}
		}
	}
	return n
}

// Fleet is all machines known to the leader.
type Fleet struct {
	lease    clock.Micros // lease_s stretched for drift, with a margin
	report   clock.Micros
	machines map[string]*Machine
	builds   map[string]wire.Build
	first    uint64 // the reign's first warrant
}

// Drift is how far apart two steady clocks may run, as a share.
const Drift = 0.001

// leaseMargin covers timer steps and the state service's slack in ending a hold.
const leaseMargin = 400 * clock.Millisecond

// New makes an empty Fleet for a reign that began with the given warrant.
func New(lease, report clock.Micros, first uint64) *Fleet {
	return &Fleet{first: first, lease: lease.Stretch(Drift) + leaseMargin, report: report, machines: map[string]*Machine{}, builds: map[string]wire.Build{}}
}

// SetCatalog tells the machine types, and gives machines seen before their size.
func (f *Fleet) SetCatalog(c wire.Catalog) {
	for _, b := range c.Builds {
		f.builds[b.SKU] = b
	}
	for _, m := range f.machines {
		f.size(m)
	}
}

func (f *Fleet) size(m *Machine) {
	if b, ok := f.builds[m.Build]; ok {
		m.Cores, m.Accel, m.RAM = b.Cores, b.Accel, b.RAM
	}
}

// Build looks a machine type up.
func (f *Fleet) Build(sku string) (wire.Build, bool) { b, ok := f.builds[sku]; return b, ok }

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

// Ensure gives the machine of this name, made now if it was unknown.
func (f *Fleet) Ensure(name string, now clock.Micros) *Machine {
	m := f.machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: now, IdleFrom: now, Slow: 1, LeaseEnd: now + f.lease,
			Bookings: map[PieceID]map[uint64]*Booking{}, Images: map[string]bool{}, strays: map[string]stray{}}
		f.machines[name] = m
	}
	return m
}

// Drop forgets a machine on which nothing can be any more.
func (f *Fleet) Drop(name string) { delete(f.machines, name) }

// Reserve books room for an attempt. It is not yet Recorded.
func (f *Fleet) Reserve(m *Machine, b *Booking, now clock.Micros) {
	b.Machine = m
	b.Since = now
	if m.Bookings[b.Piece] == nil {
		m.Bookings[b.Piece] = map[uint64]*Booking{}
	}
	m.Bookings[b.Piece][b.Try] = b
	m.UsedCores += b.Cores
	m.UsedAccel += b.Accel
	m.UsedRAM += b.RAM
	m.IdleFrom = 0
}

// Adopt books an attempt that a predecessor recorded. Any warrant below this
// reign's may still be on its way in a /do, so absence proves nothing until
// the worker has seen this reign's.
func (f *Fleet) Adopt(m *Machine, b *Booking, now clock.Micros) {
	f.Reserve(m, b, now)
	b.Recorded, b.Adopted = true, true
	b.doubt = f.first - 1
	m.Tenure = max(m.Tenure, b.Tenure)
	b.firstSent = now
}

// Remove frees a booking's room, if it still takes any, and forgets it.
func (f *Fleet) Remove(b *Booking, now clock.Micros) {
	f.release(b, now)
	tries := b.Machine.Bookings[b.Piece]
	delete(tries, b.Try)
	if len(tries) == 0 {
		delete(b.Machine.Bookings, b.Piece)
	}
	if len(b.Machine.Bookings) == 0 && b.Machine.IdleFrom == 0 {
		b.Machine.IdleFrom = now
	}
}

func (f *Fleet) release(b *Booking, now clock.Micros) {
	if b.Ended {
		return
	}
	b.Ended = true
	m := b.Machine
	m.UsedCores = max(0, m.UsedCores-b.Cores)
	m.UsedAccel = max(0, m.UsedAccel-b.Accel)
	m.UsedRAM = max(0, m.UsedRAM-b.RAM)
	if m.LiveCount() == 0 {
		// Sums of decimals drift; an empty machine is exactly empty.
		m.UsedCores, m.UsedAccel, m.UsedRAM = 0, 0, 0
		if m.IdleFrom == 0 {
			m.IdleFrom = now
		}
	}
}

// News is what a report, an expiry or a return taught about a booking.
type News struct {
	Booking *Booking
	Gone    bool // proved absent without a result; otherwise it ended with Cause
	Started bool // first seen running
}

// Newer tells whether (tenure, tally) is later than what is known of m.
func (m *Machine) Newer(tenure, tally uint64) bool {
	return tenure > m.Tenure || tenure == m.Tenure && tally > m.Tally
}

// Report takes in a worker's report. viaBeat tells a beat from the body of a
// /do or /show: only a beat proves that the answer to an earlier beat is dead,
// because a worker has one beat in flight and drops answers that come late.
// A report older than what is known changes nothing and gives fresh=false.
func (f *Fleet) Report(now clock.Micros, rep *wire.Beat, viaBeat bool) (news []News, fresh bool) {
	m := f.Ensure(rep.Host, now)
	if !m.Newer(rep.Tenure, rep.Tally) {
		return nil, false
	}
	m.Endpoint, m.Build, m.Yard, m.Loaned = rep.Endpoint, rep.Build, rep.Yard, rep.Loaned
	f.size(m)
	if m.BootedAt == 0 {
		m.BootedAt = now
	}
	if rep.Tenure > m.Tenure {
		// A new session: the worker has killed all that ran in the ones before.
		news = append(news, f.dropSessions(m, rep.Tenure, now)...)
		m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
		m.Images = map[string]bool{}
	}
	m.Tenure, m.Tally = rep.Tenure, rep.Tally
	m.Warrant = max(m.Warrant, rep.Warrant)
	if viaBeat {
		m.Beaten, m.LastBeat, m.Deaf = true, now, 0
	}
	if rep.WarningS != nil {
		m.WarnUntil = now + clock.FromSeconds(*rep.WarningS)
	} else {
		m.WarnUntil = 0
	}
	type key struct {
		p   PieceID
		try uint64
	}
	shown := make(map[key]bool, len(rep.Pieces))
	clear(m.strays)
	for i := range rep.Pieces {
		p := &rep.Pieces[i]
		id, ok := ParsePiece(p.Piece)
		var b *Booking
		if ok {
			b = m.Bookings[id][p.Try]
		}
		if b == nil || b.Tenure != rep.Tenure {
			m.strays[p.Piece+"#"+strconv.FormatUint(p.Try, 10)] = stray{piece: p.Piece, try: p.Try, ended: p.Status == wire.PieceEnded}
			continue
		}
		shown[key{id, p.Try}] = true
		b.Status = p.Status
		m.Images[b.Bundle] = m.Images[b.Bundle] || p.Status == wire.PieceRunning
		if p.Status == wire.PieceRunning && b.Running == 0 {
			b.Running = now
			news = append(news, News{Booking: b, Started: true})
		}
		if p.Status == wire.PieceEnded && !b.Ended {
			f.release(b, now)
			b.Cause, b.Kept = p.Cause, p.Kept
			news = append(news, News{Booking: b})
		}
	}
	m.Each(func(b *Booking) {
		if b.Tenure != rep.Tenure || shown[key{b.Piece, b.Try}] {
			return
		}
		// Not in the report. A /do without a definite answer is dead once the
		// worker has seen a higher warrant; the answer to a beat is dead once a
		// later beat has come.
		if b.doubt > 0 && rep.Warrant > b.doubt {
			b.doubt = 0
		}
		if b.flying > 0 || b.doubt > 0 {
			return
		}
		if b.Ended {
			if b.Settled {
				f.Remove(b, now)
			}
			return
		}
		if b.firstSent == 0 || !viaBeat || rep.Tally <= b.beatTally {
			return
		}
		if b.Status == "" && !b.Halt {
			// Never shown: the run was lost, and the next answer carries it again.
			return
		}
		f.release(b, now)
		news = append(news, News{Booking: b, Gone: true})
	})
	// A higher warrant also voids copies of attempts that are shown.
	m.Each(func(b *Booking) {
		if b.doubt > 0 && rep.Warrant > b.doubt {
			b.doubt = 0
		}
	})
	return news, true
}

// dropSessions frees what was booked in sessions before the given one.
func (f *Fleet) dropSessions(m *Machine, tenure uint64, now clock.Micros) (news []News) {
	m.Each(func(b *Booking) {
		if b.Tenure >= tenure {
			return
		}
		live := b.Live()
		settled := b.Settled
		if live {
			f.release(b, now)
			news = append(news, News{Booking: b, Gone: true})
		}
		if live || settled {
			f.Remove(b, now)
		} else {
			// It ended but the result is not durable yet: keep it for the record.
			b.doubt, b.flying = 0, 0
			f.Remove(b, now)
		}
	})
	return news
}

// Expire frees the bookings of machines whose lease must have run out.
func (f *Fleet) Expire(now clock.Micros) (news []News) {
	for _, m := range f.Machines() {
		if now <= m.LeaseEnd || len(m.Bookings) == 0 {
			continue
		}
		news = append(news, f.dropSessions(m, m.Tenure+1, now)...)
		m.Beaten = false
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
	news = f.dropSessions(m, m.Tenure+1, now)
	// A recorded booking of a session not reported yet is gone as well.
	m.Each(func(b *Booking) {
		if b.Live() {
			f.release(b, now)
			news = append(news, News{Booking: b, Gone: true})
		}
		f.Remove(b, now)
	})
	delete(f.machines, name)
	return news
}

// Answered notes that a beat of m is being answered, which extends its lease.
func (f *Fleet) Answered(m *Machine, now clock.Micros) {
	m.LeaseEnd = max(m.LeaseEnd, now+f.lease)
}

// Orders lists what a worker should be told. For a beat, the runs in it are
// noted as carried by the answer to the beat of this tally.
func (f *Fleet) Orders(m *Machine, now clock.Micros, viaBeat, mayRun bool) []wire.Order {
	orders := []wire.Order{}
	var runs []wire.Order
	for _, s := range sorted(m.strays) {
		// Not on the books here: it is stopped, then forgotten.
		if !s.ended {
			zero := 0.0
			orders = append(orders, wire.Order{Verb: wire.VerbHalt, Piece: s.piece, Try: s.try, LeewayS: &zero})
		} else if viaBeat && m.Warrant >= f.first {
			orders = append(orders, wire.Order{Verb: wire.VerbForget, Piece: s.piece, Try: s.try})
		}
	}
	m.Each(func(b *Booking) {
		if b.Tenure != m.Tenure {
			return
		}
		switch {
		case b.Ended:
			if b.Settled && !b.copiesOut() && b.Status == wire.PieceEnded {
				orders = append(orders, wire.Order{Verb: wire.VerbForget, Piece: b.Piece.String(), Try: b.Try})
			}
		case b.Halt:
			if b.Status != "" && b.Status != wire.PieceEnded {
				left := max(0, b.Leeway-(now-b.HaltAt).Seconds())
				orders = append(orders, wire.Order{Verb: wire.VerbHalt, Piece: b.Piece.String(), Try: b.Try, LeewayS: &left})
			}
		case b.Recorded && mayRun && b.Status == "" && b.flying == 0:
			runs = append(runs, wire.Order{Verb: wire.VerbRun, Piece: b.Piece.String(), Try: b.Try})
			if viaBeat {
				b.beatTally = m.Tally
			}
			if b.firstSent == 0 {
				b.firstSent = now
			}
		}
	})
	// Stops come first: they make the room that runs need.
	return append(orders, runs...)
}

func sorted(in map[string]stray) []stray {
	keys := make([]string, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := make([]stray, 0, len(keys))
	for _, k := range keys {
		out = append(out, in[k])
	}
	return out
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
	}
	return false
}

// Flight is a /do on its way with the runs it carries.
type Flight struct {
	Machine *Machine
	Tenure  uint64
	Warrant uint64
	Orders  []wire.Order
	runs    []*Booking
}

// Launch collects the orders for a /do; nil when there is nothing to say.
func (f *Fleet) Launch(m *Machine, now clock.Micros, warrant uint64) *Flight {
	if m.Endpoint == "" || m.Lapsed(now) {
		return nil
	}
	fl := &Flight{Machine: m, Tenure: m.Tenure, Warrant: warrant, Orders: f.Orders(m, now, false, true)}
	if len(fl.Orders) == 0 {
		return nil
	}
	for _, o := range fl.Orders {
		if o.Verb != wire.VerbRun {
			continue
		}
		if id, ok := ParsePiece(o.Piece); ok {
			b := m.Bookings[id][o.Try]
			b.flying++
			fl.runs = append(fl.runs, b)
		}
	}
	return fl
}

// Landed takes in the outcome of a /do. Without a definite answer its runs
// stay in doubt: they may arrive minutes late.
func (f *Fleet) Landed(fl *Flight, definite bool) {
	for _, b := range fl.runs {
		b.flying--
		if !definite {
			b.doubt = max(b.doubt, fl.Warrant)
		}
	}
}

// Doubts counts bookings with a run that may still arrive at workers that do report.
func (f *Fleet) Doubts(now clock.Micros, warrant uint64) int {
	n := 0
	for _, m := range f.machines {
		if !m.Beaten || now-m.LastBeat > 3*f.report {
			continue
		}
		for _, tries := range m.Bookings {
			for _, b := range tries {
				if b.doubt >= warrant && b.doubt > 0 {
					n++
				}
			}
		}
	}
	return n
}
