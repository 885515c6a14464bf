// Package plan is the repair at the heart of cedardoor: a picture of the
// cluster goes in, a plan comes out. It is pure and deterministic: no I/O, no
// locks, no clock, no globals. The rules are small values in rules.go; the
// heuristic here only ever asks them.
//
// As in the paper's heuristic, candidates are the tasks on offending machines
// or in broken rules, by decreasing memory; each is tried on its current
// machine and then in worst-fit order. Moves into machines that nobody leaves
// come first, others wait until departures have freed the room.
package plan

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"

	"cedardoor/clock"
	"cedardoor/quota"
	"cedardoor/wire"
)

// ImageState is how far a machine is with an image.
type ImageState int

// The states of an image on a machine, best last.
const (
	ImageAbsent ImageState = iota
	ImageFetching
	ImageHeld
)

// Machine is a machine in the picture.
type Machine struct {
	Name, Type, Zone         string
	Preemptible              bool
	Cores, Accelerators, RAM float64 // free
	// Room that stops already under way will free.
	StoppingCores, StoppingAccelerators, StoppingRAM float64
	Usable                                           bool   // reports, and may be given tasks
	QuarantineReason                                 string // why it is to be emptied
	Cordoned                                         bool   // gets no new tasks, but need not be emptied
	Images                                           map[string]ImageState
	Victims                                          []Victim // tasks that may be preempted, cheapest first
	ReservedFor                                      string   // the job that its room is kept for, if any
	FetchGBs                                         float64  // GB of images a second
	HasFailures                                      bool     // tasks have failed on it since any was done there

	leaving int
	at      place
	before  *saved // as it was before the plan, while one is being made
}

// Victim is a task that could be stopped to make room.
type Victim struct {
	Task                     TaskID
	Priority                 wire.Priority
	Cores, Accelerators, RAM float64
	RunningSince             clock.Micros // running since; zero when it has not begun
	Job                      *Job         // to tell whether its team is beyond its guarantee; may be nil
	Borrowed                 bool         // its team is beyond its guarantee
	Replica                  bool         // of a service

	taken bool
}

// amount is what the task takes of its team's limit.
func (v *Victim) amount() quota.Amount { return quota.NewAmount(v.Cores, v.Accelerators) }

// team is the task's team, empty where that is not known.
func (v *Victim) team() string {
	if v.Job == nil {
		return ""
	}
	return v.Job.Team
}

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// Job is what the tasks of a job have in common.
type Job struct {
	UID, Team                string
	Priority                 wire.Priority
	Service                  bool
	Tasks                    int
	Cores, Accelerators, RAM float64
	MachineTypes             []string
	Zone                     string
	SameZone, Spread         bool
	Preemptible              bool
	Image                    string
	Entitled                 bool            // within its team's guarantee
	Slack                    clock.Micros    // time left before it must start to meet its deadline
	Order                    int64           // acceptance order, ties of everything else
	Started                  bool            // some task was started before
	Gang                     bool            // its tasks run only all together
	Unfinished               int             // tasks not done yet
	Starved                  bool            // has waited long without any task begun
	StartsPartially          bool            // the same, replicas included: what is to be in one zone need not begin whole
	OnTrial                  bool            // it may fail wherever it runs: a task tries, and nobody makes way for it
	Avoid                    map[string]bool // machines that its tasks keep away from
	ReservedMachine          string          // the machine whose room is kept for it, if any
	ImageGB                  float64
	StartWithin              clock.Micros // in which its tasks should start; zero when nothing is said

	Zones         map[string]int // tasks that may exist, by zone
	Machines      map[string]int // the same by machine
	InUnknownZone int            // of those, tasks whose zone is not known
}

// Waiting is a job's tasks that have no machine.
type Waiting struct {
	Job         *Job
	Indexes     []int
	Replacement bool // replaces tasks that ran before
}

// Candidate is a placed task that breaks a rule where it is.
type Candidate struct {
	Job     *Job
	Index   int
	Machine string
	Reason  string
}

// Snapshot is what a plan is made from. It is kept from plan to plan: after a
// change of a machine, Put brings its indexes up to date. A plan leaves the
// picture as it found it.
type Snapshot struct {
	Machines   []*Machine
	Waiting    []Waiting
	Candidates []Candidate
	Quota      *quota.Ledger // what teams use, and may use; nil: no limits
	MaxMoves   int
	SampleSize int
	Seed       uint64
	Preempt    bool
	Now        clock.Micros
	// StarvedTurns is how many aged jobs may go before work of higher priority that waits, too.
	// Each takes one, and each task of such work that is placed gives one back.
	StarvedTurns int
	// AvoidFailures keeps jobs on trial off machines on which tasks have failed: what
	// they show there says little.
	AvoidFailures bool

	index           *index
	draft           *quota.Draft // the ledger with the plan's steps, while one is being made
	withinGuarantee bool         // what is being placed is within its team's guarantee
	// binding tells whether the draft can refuse anything.
	binding bool
}

// Placement puts a task on a machine.
type Placement struct {
	Task    TaskID
	Machine string
}

// Move stops a task where it is and starts it on Machine once it has gone.
type Move struct {
	Task     TaskID
	From, To string
	Reason   string
}

// Result is a plan.
type Result struct {
	Launches    []Placement
	Moves       []Move
	Preemptions []TaskID
	// Deferred counts moves that wait for departures, or that the cap put off.
	Deferred int
	// Violations counts candidates that found no target at all.
	Violations int
	Unplaced   map[string]int // waiting tasks without a machine, by job
	// Reservations keeps the room that comes free on a machine for an aged job, by machine.
	Reservations map[string]string
	// StarvedTurns is what the next plan's picture is to have.
	StarvedTurns int
	// Examined counts the machines looked at.
	Examined int
}

type planner struct {
	*Snapshot
	rules  []Rule
	out    Result
	rng    *rand.Rand
	undo   []func()
	copies []*Machine    // machines changed by the plan
	kept   map[*Job]bool // jobs for which this plan keeps a machine's room
}

// amount is what one task of the job takes of its team's limit.
func (j *Job) amount() quota.Amount { return quota.NewAmount(j.Cores, j.Accelerators) }

// Make plans one round: first what teams are guaranteed, then the launches of
// services, then the repair moves, if the picture has candidates, then the other
// launches.
func Make(p *Snapshot) Result {
	if p.index == nil {
		p.reindex()
	}
	pl := &planner{Snapshot: p, rules: Rules(), rng: rand.New(rand.NewPCG(p.Seed, 1))}
	p.draft = p.Quota.Draft()
	p.binding = p.draft.HasQuotas()
	pl.out.Unplaced = map[string]int{}
	services, others := byShape(pl.launchOwed())
	pl.launch(services)
	pl.repair()
	pl.out.StarvedTurns = pl.launch(others)
	pl.restore()
	return pl.out
}

// order is how launches go: lost replicas of the most important first, then
// priority, guarantee, deadline slack and age.
func order(a, b *Waiting) bool {
	ja, jb := a.Job, b.Job
	if ja.Priority != jb.Priority {
		return ja.Priority > jb.Priority
	}
	if a.Replacement != b.Replacement {
		return a.Replacement
	}
	if ja.Starved != jb.Starved {
		return ja.Starved
	}
	if ja.Entitled != jb.Entitled {
		return ja.Entitled
	}
	if ja.Slack != jb.Slack {
		return ja.Slack < jb.Slack
	}
	if ja.Order != jb.Order {
		return ja.Order < jb.Order
	}
	return ja.UID < jb.UID
}

// maxHolds bounds the machines whose room is kept for jobs that have waited long.
const maxHolds = 8

// StarvedTasks is how many tasks of a job that has waited long go before others. One
// is enough for the job to begin. With more, the jobs of low priority that have waited
// long take all that comes free under a lasting overload, and urgent work waits
// until it has waited long itself.
const StarvedTasks = 1

// launchOwed places as many tasks as teams are owed of their guarantees, whatever their
// priority: they need not wait for other teams, and what they have preempted would else be
// placed again before them. Jobs that fit into the guarantee together with the
// team's earlier ones come first. It gives what is left to place.
func (pl *planner) launchOwed() (rest []*Waiting) {
	waiting := make([]*Waiting, 0, len(pl.Waiting))
	for i := range pl.Waiting {
		waiting = append(waiting, &pl.Waiting[i])
	}
	if !pl.Quota.HasGuarantees() {
		return waiting
	}
	sort.SliceStable(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.Job.Entitled != b.Job.Entitled {
			return a.Job.Entitled
		}
		return order(a, b)
	})
	pl.withinGuarantee = true
	defer func() { pl.withinGuarantee = false }()
	var failed []*Job
	for _, w := range waiting {
		n := pl.owedTasks(w)
		if n > 0 {
			pl.try(&Waiting{Job: w.Job, Indexes: w.Indexes[:n], Replacement: w.Replacement}, &failed)
		}
		if n < len(w.Indexes) {
			rest = append(rest, &Waiting{Job: w.Job, Indexes: w.Indexes[n:], Replacement: w.Replacement})
		}
	}
	return rest
}

// owedTasks is how many of the waiting tasks are within their team's guarantee. What
// starts only whole is whole or not at all.
func (pl *planner) owedTasks(w *Waiting) int {
	j := w.Job
	owed := pl.draft.RemainingGuarantee(j.Team)
	if owed == (quota.Amount{}) {
		return 0
	}
	n := owed.Tasks(j.amount(), len(w.Indexes))
	if n < len(w.Indexes) && (j.Gang || j.SameZone && !j.anywhere()) {
		return 0
	}
	return n
}

// try places as many of a job's waiting tasks as it can.
func (pl *planner) try(w *Waiting, failed *[]*Job) (placed int) {
	j := w.Job
	switch {
	case dominated(j, *failed):
		pl.out.Unplaced[j.UID] += len(w.Indexes)
	case j.Gang:
		pl.group(w)
	case j.SameZone && !j.anywhere():
		pl.gang(w)
	default:
		return pl.some(w, failed, true)
	}
	return 0
}

// byShape divides what waits into services, which go before the repair so that
// replacing a lost replica never waits behind a move, and the rest, which goes after it.
func byShape(waiting []*Waiting) (services, others []*Waiting) {
	for _, w := range waiting {
		if w.Job.Service {
			services = append(services, w)
		} else {
			others = append(others, w)
		}
	}
	return services, others
}

// launch places waiting tasks, and gives the turns that are left of the picture's.
func (pl *planner) launch(list []*Waiting) (left int) {
	sort.SliceStable(list, func(i, j int) bool { return order(list[i], list[j]) })
	// A job that has waited long without any task begun goes before those of
	// higher priority with its first task, so that none waits for ever. Its next ones
	// do not, though the first may take seconds to begin. Where many such jobs meet
	// higher priority, they take turns: an overload of jobs of one task each would else
	// have all that comes free. A job for which room is kept has taken its turn.
	turns := pl.turns(list)
	rest := list[:0:0]
	var failed []*Job
	for _, w := range list {
		if j := w.Job; first(w) && (turns.left > 0 || j.Priority >= turns.rival || pl.holds(j)) {
			n, kept := min(StarvedTasks, len(w.Indexes)), pl.holds(j)
			done := pl.some(&Waiting{Job: j, Indexes: w.Indexes[:n], Replacement: w.Replacement}, &failed, false)
			if done == 0 {
				pl.hold(j)
			}
			if j.Priority < turns.rival && !kept && (done > 0 || pl.holds(j)) {
				turns.left--
			}
			if done < len(w.Indexes) {
				rest = append(rest, &Waiting{Job: j, Indexes: w.Indexes[done:], Replacement: w.Replacement})
			}
			continue
		}
		rest = append(rest, w)
	}
	failed = nil
	for _, w := range rest {
		j := w.Job
		placed := pl.try(w, &failed)
		if j.Priority > turns.lowest && !first(w) {
			turns.left += placed
		}
	}
	return max(0, min(turns.left, MaxStarvedTurns))
}

// first tells whether a job's first task may go before work of higher priority.
func first(w *Waiting) bool {
	j := w.Job
	return j.Starved && !j.Gang && !j.SameZone && !j.anywhere()
}

// MaxStarvedTurns is how many aged jobs may go at once before work of higher priority that
// comes. More would let what is urgent wait for as many places to come free.
const MaxStarvedTurns = 2

// turns is what aged jobs and work of higher priority that waits share a plan by.
type turns struct {
	left   int
	rival  wire.Priority // the highest that waits and has not aged
	lowest wire.Priority // the lowest of the aged jobs
}

func (pl *planner) turns(list []*Waiting) turns {
	t := turns{left: pl.StarvedTurns, lowest: wire.PriorityCritical}
	aged, others := false, false
	for _, w := range list {
		if first(w) {
			aged, t.lowest = true, min(t.lowest, w.Job.Priority)
		} else {
			others, t.rival = true, max(t.rival, w.Job.Priority)
		}
	}
	if !aged || !others || t.rival <= t.lowest {
		t.left = MaxStarvedTurns // nobody is in the other's way
	}
	return t
}

// some places as many of a job's waiting tasks as there is room for.
func (pl *planner) some(w *Waiting, failed *[]*Job, last bool) (placed int) {
	j := w.Job
	var block *Machine // takes more of the same
	left := 0
	for n, index := range w.Indexes {
		if block != nil {
			if left--; left >= 0 && room(j, block) && pl.allowed(j, block) {
				pl.place(j, index, block)
				placed++
				continue
			}
			block = nil
		}
		m := pl.target(j, "", nil)
		if last && m != nil && pl.Preempt && !j.OnTrial && j.Priority >= wire.PriorityHigh && m.Images[j.Image] != ImageHeld && !soonEnough(j, m) && pl.makeRoom(j, true) {
			// Only cold machines have room: waiting for an image costs an urgent task
			// more than a little lost work costs the one that makes way.
			pl.out.Unplaced[j.UID]++
			continue
		}
		if m == nil {
			if last && pl.Preempt && !j.OnTrial && pl.makeRoom(j, false) {
				// Its room is on the way; it is claimed so that nobody else takes it.
				pl.out.Unplaced[j.UID]++
				continue
			}
			if last {
				pl.out.Unplaced[j.UID] += len(w.Indexes) - n
			}
			if !j.Spread && !j.SameZone && !j.OnTrial && len(j.Avoid) == 0 {
				*failed = append(*failed, j) // for lack of room, not for what it keeps away from
			}
			break
		}
		if left = alike(j, m, len(w.Indexes)-n); left > 0 {
			block = m
		}
		pl.place(j, index, m)
		placed++
	}
	return placed
}

// A machine takes up to mostAlike tasks of a job at a time where it has room for
// fewAlike and more: thousands of small tasks spread one by one over all machines
// would have each of them report twice a second.
const (
	fewAlike  = 16
	mostAlike = 64
)

// alike is how many more of a job's tasks go with one that goes to m.
func alike(j *Job, m *Machine, waiting int) int {
	if j.Service || j.Spread || j.SameZone || j.Cores <= 0 {
		return 0
	}
	fit := m.Cores / j.Cores
	if j.RAM > 0 {
		fit = min(fit, m.RAM/j.RAM)
	}
	if fit < fewAlike || waiting < fewAlike {
		return 0
	}
	return int(min(fit, mostAlike, float64(waiting))) - 1
}

// soonEnough tells whether a task would start in time on a machine that has yet
// to fetch its image: then no other need make way. Fetches vary by a third, and
// share what a machine fetches at a time.
func soonEnough(j *Job, m *Machine) bool {
	if j.StartWithin == 0 || m.FetchGBs <= 0 {
		return false
	}
	return clock.FromSeconds(1.5*j.ImageGB/m.FetchGBs) < j.StartWithin
}

// hold keeps a machine's room for a job for which none has enough: smaller
// tasks would take each bit that comes free before it is enough for a large
// one. The machine that lacks least is taken, or the one held already.
func (pl *planner) hold(j *Job) {
	if len(pl.out.Reservations) >= maxHolds {
		return
	}
	best := pl.index.byName[j.ReservedMachine]
	if best != nil && (best.ReservedFor != j.UID || !pl.allowed(j, best)) {
		best = nil
	}
	var least float64
	list := pl.sampled(pl.index.kinds(j))
	if best != nil {
		list = nil
	}
	for _, m := range list {
		pl.out.Examined++
		if m.ReservedFor != "" || !pl.allowed(j, m) {
			continue
		}
		lack := max(0, j.Cores-m.Cores)/max(j.Cores, slop) + max(0, j.RAM-m.RAM)/max(j.RAM, slop)
		if best == nil || lack < least {
			best, least = m, lack
		}
	}
	if best == nil {
		return
	}
	if pl.out.Reservations == nil {
		pl.out.Reservations = map[string]string{}
	}
	pl.out.Reservations[best.Name] = j.UID
	pl.save(best)
	best.ReservedFor = j.UID
	if pl.kept == nil {
		pl.kept = map[*Job]bool{}
	}
	pl.kept[j] = true
}

// holds tells whether a machine's room is kept for a job.
func (pl *planner) holds(j *Job) bool {
	if m := pl.index.byName[j.ReservedMachine]; m != nil && m.ReservedFor == j.UID {
		return true
	}
	return pl.kept[j]
}

// dominated tells whether a job asks for at least what another, with no fewer
// choices, has just failed to get.
func dominated(j *Job, failed []*Job) bool {
	for _, f := range failed {
		if f.Priority >= j.Priority && j.Cores >= f.Cores && j.RAM >= f.RAM && j.Accelerators >= f.Accelerators &&
			f.Zone == "" && f.MachineTypes == nil && (f.Preemptible || !j.Preemptible) && f.Team == j.Team {
			return true
		}
	}
	return false
}

// anywhere tells whether a task of a job may exist, begun or not.
func (j *Job) anywhere() bool { return len(j.Zones) > 0 || j.InUnknownZone > 0 }

// gang places a same_place job that has nothing anywhere: in one zone, whole or,
// if it was never started and has not waited long, not at all.
func (pl *planner) gang(w *Waiting) {
	names := pl.index.zones()
	best, bestN := "", 0
	for _, z := range names {
		if n := pl.fits(w.Job, z, len(w.Indexes)); n > bestN {
			best, bestN = z, n
		}
	}
	if bestN < len(w.Indexes) && (!w.Job.Started && !w.Job.StartsPartially || bestN == 0) {
		pl.makeRoomForAll(w, names)
		pl.out.Unplaced[w.Job.UID] += len(w.Indexes)
		return
	}
	for n, index := range w.Indexes {
		m := pl.target(w.Job, best, nil)
		if m == nil {
			pl.out.Unplaced[w.Job.UID] += len(w.Indexes) - n
			return
		}
		pl.place(w.Job, index, m)
	}
}

// group places a group whole in one round, or not at all, and only when
// nothing of it can be anywhere any more.
func (pl *planner) group(w *Waiting) {
	j := w.Job
	if len(w.Indexes) < j.Unfinished || j.anywhere() {
		pl.out.Unplaced[j.UID] += len(w.Indexes)
		return
	}
	zones := []string{""}
	if j.SameZone {
		zones = pl.index.zones()
	}
	for _, zone := range zones {
		var on []*Machine
		for range w.Indexes {
			m := pl.target(j, zone, nil)
			if m == nil {
				break
			}
			pl.book(j, m)
			on = append(on, m)
		}
		if len(on) == len(w.Indexes) {
			for i, m := range on {
				pl.out.Launches = append(pl.out.Launches, Placement{Task: TaskID{j.UID, w.Indexes[i]}, Machine: m.Name})
			}
			return
		}
		for _, m := range on {
			pl.unbook(j, m)
		}
	}
	pl.makeRoomForAll(w, zones)
	pl.out.Unplaced[j.UID] += len(w.Indexes)
}

// unbook takes book back.
func (pl *planner) unbook(j *Job, m *Machine) {
	m.Cores += j.Cores
	m.Accelerators += j.Accelerators
	m.RAM += j.RAM
	pl.index.put(m)
	pl.count(j, m.Zone, m.Name, -1)
	pl.draft.Remove(j.Team, j.amount())
}

// fits counts how many tasks of a job a zone can take, up to want.
func (pl *planner) fits(j *Job, zone string, want int) int {
	n := 0
	for _, m := range pl.index.kinds(j) {
		if m.Zone != zone || !pl.allowed(j, m) {
			continue
		}
		k := want
		if j.Cores > 0 {
			k = min(k, int(m.Cores/j.Cores+slop))
		}
		if j.RAM > 0 {
			k = min(k, int(m.RAM/j.RAM+slop))
		}
		if j.Accelerators > 0 {
			k = min(k, int(m.Accelerators/j.Accelerators+slop))
		}
		n += k
		if n >= want {
			return want
		}
	}
	return n
}

func (pl *planner) allowed(j *Job, m *Machine) bool {
	for _, r := range pl.rules {
		if !r.Allows(pl.Snapshot, j, m) {
			return false
		}
	}
	return true
}

// sampled is a sample of the given machines in a random order of neighbours: all
// of them when there are not more than the sample.
func (pl *planner) sampled(list []*Machine) []*Machine {
	if pl.SampleSize <= 0 || len(list) <= pl.SampleSize {
		return list
	}
	at := pl.rng.IntN(len(list))
	if at+pl.SampleSize <= len(list) {
		return list[at : at+pl.SampleSize]
	}
	return append(slices.Clone(list[at:]), list[:at+pl.SampleSize-len(list)]...)
}

// target picks a machine for a task: among those that the rules allow and that
// have room, the soft spread first, then a machine that has the image, then the
// kind that costs least, then worst fit: most free memory, ties by free CPU.
//
// It looks at a sample of the machines that hold the image and at a sample of
// those with memory and processors enough, the roomiest first. A sample in which
// nothing fits is no answer: the search then goes on over all of them.
func (pl *planner) target(j *Job, zone string, not *Machine) *Machine {
	var best *Machine
	consider := func(m *Machine) bool {
		pl.out.Examined++
		if m == not || zone != "" && m.Zone != zone || !room(j, m) || !pl.allowed(j, m) {
			return false
		}
		if best == nil || better(j, m, best) {
			best = m
		}
		return true
	}
	if j.Image != "" {
		for _, m := range pl.sampled(pl.index.images[j.Image]) {
			consider(m)
		}
	}
	least, narrow := level(j.RAM), width(j.Cores)
	for l := levels - 1; l >= least; l-- {
		found, looked := 0, 0
		for kind := range pl.index.open {
			if kind == loaned && !j.Preemptible {
				continue
			}
			s := &pl.index.open[kind][l]
			done := false
			for some := s.some >> narrow << narrow; some != 0 && !done; {
				w := bits.Len32(some) - 1
				some &^= 1 << w
				list := s.width[w]
				at := 0
				if pl.SampleSize > 0 && len(list) > pl.SampleSize {
					at = pl.rng.IntN(len(list))
				}
				for i := range list {
					m := list[(at+i)%len(list)]
					looked++
					if consider(m) {
						found++
					}
					if done = pl.SampleSize > 0 && looked >= pl.SampleSize && best != nil; done {
						break
					}
				}
			}
		}
		// Emptier machines go first; fuller ones only matter while none was found,
		// or for what is preferred to room.
		if best != nil && (found >= pl.SampleSize && pl.SampleSize > 0 || l < levels-1 && pl.enoughSeen(j, best)) {
			break
		}
	}
	return best
}

// enoughSeen tells whether fuller machines could not be preferred to this one.
func (pl *planner) enoughSeen(j *Job, best *Machine) bool {
	return (j.Image == "" || best.Images[j.Image] == ImageHeld) && (!j.Service || j.Machines[best.Name] == 0 && !j.Spread) && (best.Preemptible || !j.Preemptible)
}

func better(j *Job, a, b *Machine) bool {
	if j.Service {
		// Spread: replicas on distinct machines while there are enough of them; but
		// a machine that has the image and one replica goes before one that would
		// have to fetch it, for users wait the while.
		if x, y := crowd(j, a), crowd(j, b); x != y {
			return x < y
		}
	}
	if x, y := a.Images[j.Image], b.Images[j.Image]; x != y {
		return x > y
	}
	if a.FetchGBs != b.FetchGBs && j.Priority >= wire.PriorityHigh && a.Images[j.Image] == ImageAbsent {
		return a.FetchGBs > b.FetchGBs // where an urgent task has to wait for its image
	}
	if x, y := j.Zones[a.Zone], j.Zones[b.Zone]; j.Service && x != y {
		return x < y
	}
	if a.Preemptible != b.Preemptible {
		return a.Preemptible
	}
	if a.RAM != b.RAM {
		return a.RAM > b.RAM
	}
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.Name < b.Name
}

// crowd sorts machines for one more replica: by how many are there already,
// where to have no image counts like one and a half more.
func crowd(j *Job, m *Machine) int {
	n := 2 * j.Machines[m.Name]
	if m.Images[j.Image] != ImageHeld {
		n += 3
	}
	return n
}

func (pl *planner) place(j *Job, index int, m *Machine) {
	pl.book(j, m)
	pl.out.Launches = append(pl.out.Launches, Placement{Task: TaskID{j.UID, index}, Machine: m.Name})
}

// saved is what a plan may change of a machine.
type saved struct {
	cores, accel, ram, stopCores, stopAccel, stopRAM float64
	held                                             string
	leaving                                          int
}

// save keeps a machine as it was, once, so that the picture can be restored.
func (pl *planner) save(m *Machine) {
	if m.before != nil {
		return
	}
	m.before = &saved{m.Cores, m.Accelerators, m.RAM, m.StoppingCores, m.StoppingAccelerators, m.StoppingRAM, m.ReservedFor, m.leaving}
	pl.copies = append(pl.copies, m)
}

// restore leaves the picture as it was found.
func (pl *planner) restore() {
	pl.draft, pl.binding = nil, false
	for i := len(pl.undo) - 1; i >= 0; i-- {
		pl.undo[i]()
	}
	for _, m := range pl.copies {
		b := m.before
		m.Cores, m.Accelerators, m.RAM, m.StoppingCores, m.StoppingAccelerators, m.StoppingRAM, m.ReservedFor, m.leaving = b.cores, b.accel, b.ram, b.stopCores, b.stopAccel, b.stopRAM, b.held, b.leaving
		m.before = nil
		for i := range m.Victims {
			m.Victims[i].taken = false
		}
		pl.index.put(m)
	}
}

// count adds to the tasks of a job that may exist in a zone and on a machine.
func (pl *planner) count(j *Job, zone, name string, n int) {
	pl.undo = append(pl.undo, func() { j.Count(zone, name, -n) })
	j.Count(zone, name, n)
}

// Count adds to the tasks of a job that may exist in a zone and, unless the
// name is empty, on a machine. An empty zone is one that is not known.
func (j *Job) Count(zone, name string, n int) {
	if j.Zones == nil {
		j.Zones = map[string]int{}
	}
	if j.Machines == nil {
		j.Machines = map[string]int{}
	}
	if zone == "" {
		j.InUnknownZone += n
	} else if j.Zones[zone] += n; j.Zones[zone] == 0 {
		delete(j.Zones, zone)
	}
	if name == "" {
		return
	}
	if j.Machines[name] += n; j.Machines[name] == 0 {
		delete(j.Machines, name)
	}
}

func (pl *planner) book(j *Job, m *Machine) {
	pl.save(m)
	m.Cores -= j.Cores
	m.Accelerators -= j.Accelerators
	m.RAM -= j.RAM
	pl.index.put(m)
	pl.draft.Add(j.Team, j.amount())
	pl.count(j, m.Zone, m.Name, 1)
}

// repair finds targets for the candidates.
func (pl *planner) repair() {
	cands := append([]Candidate(nil), pl.Candidates...)
	sort.SliceStable(cands, func(i, k int) bool {
		a, b := cands[i], cands[k]
		if a.Job.RAM != b.Job.RAM {
			return a.Job.RAM > b.Job.RAM
		}
		if a.Job.UID != b.Job.UID {
			return a.Job.UID < b.Job.UID
		}
		return a.Index < b.Index
	})
	type chosen struct {
		c Candidate
		m *Machine
	}
	var moves []chosen
	for _, c := range cands {
		from := pl.index.byName[c.Machine]
		if from == nil {
			continue
		}
		// The rules count the task itself at its source; a move takes it away there.
		pl.count(c.Job, from.Zone, from.Name, -1)
		pl.draft.Remove(c.Job.Team, c.Job.amount())
		var m *Machine
		switch {
		case pl.stays(c, from):
		case c.Job.SameZone && c.Job.Tasks > 1:
			m = pl.target(c.Job, from.Zone, from)
		default:
			m = pl.target(c.Job, "", from)
		}
		// Until the stop is confirmed the task is still where it was: it counts
		// against the zone cap and the limit in both places.
		if m == nil || c.Reason == ReasonSpread && c.Job.Machines[m.Name] > 0 || c.Reason != ReasonQuarantine && c.Job.Image != "" && m.Images[c.Job.Image] != ImageHeld {
			pl.count(c.Job, from.Zone, from.Name, 1)
			pl.draft.Add(c.Job.Team, c.Job.amount())
			if c.Reason != ReasonDrain {
				pl.out.Violations++
			}
			continue
		}
		pl.book(c.Job, m)
		pl.count(c.Job, from.Zone, from.Name, 1)
		pl.draft.Add(c.Job.Team, c.Job.amount())
		pl.save(from)
		from.leaving++
		moves = append(moves, chosen{c, m})
	}
	// Into machines that nobody leaves first.
	sort.SliceStable(moves, func(i, k int) bool { return moves[i].m.leaving == 0 && moves[k].m.leaving > 0 })
	apart := 0
	for _, mv := range moves {
		if mv.c.Reason == ReasonSpread {
			// Replicas that share a machine run all the same, and a move restarts them:
			// a few a round, so that spreading a young site costs its users little.
			if apart++; pl.MaxMoves > 0 && apart > max(1, pl.MaxMoves/spreadPart) {
				pl.out.Deferred++
				continue
			}
		}
		if pl.MaxMoves > 0 && len(pl.out.Moves) >= pl.MaxMoves {
			pl.out.Deferred++
			continue
		}
		pl.out.Moves = append(pl.out.Moves, Move{Task: TaskID{mv.c.Job.UID, mv.c.Index}, From: mv.c.Machine, To: mv.m.Name, Reason: mv.c.Reason})
	}
}

// spreadPart is the part of a round's moves that may go to spreading.
const spreadPart = 5

// stays tells whether the current machine is viable after all: it breaks no
// rule once the others have been dealt with.
func (pl *planner) stays(c Candidate, from *Machine) bool {
	if c.Reason == ReasonSpread {
		return from.QuarantineReason == "" && c.Job.Machines[from.Name] == 0
	}
	return from.QuarantineReason == "" && pl.allowed(c.Job, from)
}
