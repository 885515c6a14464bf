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
	"math/rand/v2"
	"slices"
	"sort"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Image is how far a machine is with an image.
type Image int

// The states of an image on a machine, best last.
const (
	ImageAbsent Image = iota
	ImageComing
	ImageHeld
)

// Machine is a machine in the picture.
type Machine struct {
	Name, Build, Yard string
	Loaned            bool
	Cores, Accel, RAM float64 // free
	// Room that stops already under way will free.
	StopCores, StopAccel, StopRAM float64
	Usable                        bool   // reports, and may be given tasks
	Banned                        string // why it is to be emptied
	Cordoned                      bool   // gets no new tasks, but need not be emptied
	Images                        map[string]Image
	Lower                         []Victim // tasks that may be preempted, cheapest first

	leaving int
}

// Victim is a task that could be stopped to make room.
type Victim struct {
	Task              TaskID
	Rank              wire.Rank
	Cores, Accel, RAM float64
	Lost              clock.Micros // progress that stopping it would lose
	Borrowed          bool         // its team is beyond its guarantee

	taken bool
}

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// Job is what the tasks of a job have in common.
type Job struct {
	UID, Team         string
	Rank              wire.Rank
	Standing          bool
	Pieces            int
	Cores, Accel, RAM float64
	Builds            []string
	Yard              string
	SamePlace, Apart  bool
	Loaned            bool
	Bundle            string
	Entitled          bool         // within its team's guarantee
	Slack             clock.Micros // time left before it must start to meet its deadline
	Order             int64        // acceptance order, ties of everything else
	Started           bool         // some task was started before
	Group             bool         // its tasks run only all together
	Left              int          // tasks not done yet

	Zones    map[string]int // tasks that may exist, by zone
	Machines map[string]int // the same by machine
}

// Waiting is a job's tasks that have no machine.
type Waiting struct {
	Job     *Job
	Indexes []int
	Lost    bool // replaces tasks that ran before
}

// Candidate is a placed task that breaks a rule where it is.
type Candidate struct {
	Job     *Job
	Index   int
	Machine string
	Reason  string
}

// Picture is the snapshot that a plan is made from. The planner changes it.
type Picture struct {
	Machines   []*Machine
	Waiting    []Waiting
	Candidates []Candidate
	Team       map[string]*Quota
	MoveCap    int
	Sample     int
	Seed       uint64
	Preempt    bool
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
	Launch  []Placement
	Moves   []Move
	Preempt []TaskID
	// Deferred counts moves that wait for departures, or that the cap put off.
	Deferred int
	// Violations counts candidates that found no target at all.
	Violations int
	Unplaced   map[string]int // waiting tasks without a machine, by job
}

type planner struct {
	*Picture
	byName map[string]*Machine
	rules  []Rule
	out    Result
	rng    *rand.Rand
}

// Make plans one round: first the repair moves, if the picture has
// candidates, then the launches.
func Make(p *Picture) Result {
	pl := &planner{Picture: p, byName: map[string]*Machine{}, rules: Rules(),
		rng: rand.New(rand.NewPCG(p.Seed, 1))}
	pl.out.Unplaced = map[string]int{}
	for _, m := range p.Machines {
		pl.byName[m.Name] = m
	}
	pl.launch(true)
	pl.repair()
	pl.launch(false)
	return pl.out
}

// order is how launches go: lost replicas of the most important first, then
// rank, guarantee, deadline slack and age.
func order(a, b *Waiting) bool {
	ja, jb := a.Job, b.Job
	if ja.Rank != jb.Rank {
		return ja.Rank > jb.Rank
	}
	if a.Lost != b.Lost {
		return a.Lost
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

// launch places waiting tasks: services before the repair, so that replacing a
// lost replica never waits behind a move, the rest after it.
func (pl *planner) launch(standing bool) {
	var list []*Waiting
	for i := range pl.Waiting {
		if w := &pl.Waiting[i]; w.Job.Standing == standing {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return order(list[i], list[j]) })
	var failed []*Job
	for _, w := range list {
		j := w.Job
		if dominated(j, failed) {
			pl.out.Unplaced[j.UID] += len(w.Indexes)
			continue
		}
		if j.Group {
			pl.group(w)
			continue
		}
		if j.SamePlace && len(j.Zones) == 0 {
			pl.gang(w)
			continue
		}
		for n, index := range w.Indexes {
			m := pl.target(j, "", nil)
			if m != nil && pl.Preempt && j.Rank >= wire.RankHigh && m.Images[j.Bundle] != ImageHeld && pl.makeRoom(j, true) {
				// Only cold machines have room: waiting for an image costs an urgent task
				// more than a little lost work costs the one that makes way.
				pl.out.Unplaced[j.UID]++
				continue
			}
			if m == nil {
				if pl.Preempt && pl.makeRoom(j, false) {
					// Its room is on the way; it is claimed so that nobody else takes it.
					pl.out.Unplaced[j.UID]++
					continue
				}
				pl.out.Unplaced[j.UID] += len(w.Indexes) - n
				if !j.Apart && !j.SamePlace {
					failed = append(failed, j)
				}
				break
			}
			pl.place(j, index, m)
		}
	}
}

// dominated tells whether a job asks for at least what another, with no fewer
// choices, has just failed to get.
func dominated(j *Job, failed []*Job) bool {
	for _, f := range failed {
		if f.Rank >= j.Rank && j.Cores >= f.Cores && j.RAM >= f.RAM && j.Accel >= f.Accel &&
			f.Yard == "" && f.Builds == nil && (f.Loaned || !j.Loaned) && f.Team == j.Team {
			return true
		}
	}
	return false
}

// gang places a same_place array that has nothing anywhere: in one zone, whole
// or, if it was never started, not at all.
func (pl *planner) gang(w *Waiting) {
	zones := map[string]bool{}
	for _, m := range pl.Machines {
		zones[m.Yard] = true
	}
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	sort.Strings(names)
	best, bestN := "", 0
	for _, z := range names {
		if n := pl.fits(w.Job, z, len(w.Indexes)); n > bestN {
			best, bestN = z, n
		}
	}
	if bestN < len(w.Indexes) && (!w.Job.Started || bestN == 0) {
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
	if len(w.Indexes) < j.Left || len(j.Zones) > 0 {
		pl.out.Unplaced[j.UID] += len(w.Indexes)
		return
	}
	zones := []string{""}
	if j.SamePlace {
		zones = zones[:0]
		for _, m := range pl.Machines {
			if !slices.Contains(zones, m.Yard) {
				zones = append(zones, m.Yard)
			}
		}
		sort.Strings(zones)
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
				pl.out.Launch = append(pl.out.Launch, Placement{Task: TaskID{j.UID, w.Indexes[i]}, Machine: m.Name})
			}
			return
		}
		for _, m := range on {
			pl.unbook(j, m)
		}
	}
	pl.out.Unplaced[j.UID] += len(w.Indexes)
}

// unbook takes book back.
func (pl *planner) unbook(j *Job, m *Machine) {
	m.Cores += j.Cores
	m.Accel += j.Accel
	m.RAM += j.RAM
	if q := pl.Team[j.Team]; q != nil {
		q.Cores -= j.Cores
		q.Accel -= j.Accel
	}
	if j.Zones[m.Yard]--; j.Zones[m.Yard] == 0 {
		delete(j.Zones, m.Yard)
	}
	if j.Machines[m.Name]--; j.Machines[m.Name] == 0 {
		delete(j.Machines, m.Name)
	}
}

// fits counts how many tasks of a job a zone can take, up to want.
func (pl *planner) fits(j *Job, zone string, want int) int {
	n := 0
	for _, m := range pl.Machines {
		if m.Yard != zone || !pl.allowed(j, m) {
			continue
		}
		k := want
		if j.Cores > 0 {
			k = min(k, int(m.Cores/j.Cores+slop))
		}
		if j.RAM > 0 {
			k = min(k, int(m.RAM/j.RAM+slop))
		}
		if j.Accel > 0 {
			k = min(k, int(m.Accel/j.Accel+slop))
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
		if !r.Allows(pl.Picture, j, m) {
			return false
		}
	}
	return true
}

// pool is the machines looked at for one task: all of them, or when there are
// more than the sample, a sample.
func (pl *planner) pool() []*Machine {
	if pl.Sample <= 0 || len(pl.Machines) <= pl.Sample {
		return pl.Machines
	}
	out := make([]*Machine, pl.Sample)
	for i := range out {
		out[i] = pl.Machines[pl.rng.IntN(len(pl.Machines))]
	}
	return out
}

// target picks a machine for a task: among those that the rules allow and that
// have room, the soft spread first, then a machine that has the image, then the
// kind that costs least, then worst fit: most free memory, ties by free CPU.
func (pl *planner) target(j *Job, zone string, not *Machine) *Machine {
	var best *Machine
	for _, m := range pl.pool() {
		if m == not || zone != "" && m.Yard != zone || !room(j, m) || !pl.allowed(j, m) {
			continue
		}
		if best == nil || better(j, m, best) {
			best = m
		}
	}
	return best
}

func better(j *Job, a, b *Machine) bool {
	if j.Standing {
		// Spread: replicas on distinct machines while there are enough of them.
		if x, y := j.Machines[a.Name], j.Machines[b.Name]; x != y {
			return x < y
		}
	}
	if x, y := a.Images[j.Bundle], b.Images[j.Bundle]; x != y {
		return x > y
	}
	if x, y := j.Zones[a.Yard], j.Zones[b.Yard]; j.Standing && x != y {
		return x < y
	}
	if a.Loaned != b.Loaned {
		return a.Loaned
	}
	if a.RAM != b.RAM {
		return a.RAM > b.RAM
	}
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.Name < b.Name
}

func (pl *planner) place(j *Job, index int, m *Machine) {
	pl.book(j, m)
	pl.out.Launch = append(pl.out.Launch, Placement{Task: TaskID{j.UID, index}, Machine: m.Name})
}

func (pl *planner) book(j *Job, m *Machine) {
	m.Cores -= j.Cores
	m.Accel -= j.Accel
	m.RAM -= j.RAM
	if q := pl.Team[j.Team]; q != nil {
		q.Cores += j.Cores
		q.Accel += j.Accel
	}
	if j.Zones == nil {
		j.Zones = map[string]int{}
	}
	if j.Machines == nil {
		j.Machines = map[string]int{}
	}
	j.Zones[m.Yard]++
	j.Machines[m.Name]++
}

// barelyBegun is how much progress may be lost to spare an urgent task the
// fetch of its image.
const barelyBegun = 6 * clock.Second

// makeRoom finds a machine where stopping less important work lets one task
// in, and claims the room. The task itself is launched when the stops are confirmed.
//
// With warm set, only machines that hold the image count, where no task of
// the job is yet, and only work that has barely begun, or any for a replica.
func (pl *planner) makeRoom(j *Job, warm bool) bool {
	var best *Machine
	var bestCost clock.Micros
	var bestSet []int
	for _, m := range pl.pool() {
		if !pl.allowed(j, m) || warm && (m.Images[j.Bundle] != ImageHeld || j.Standing && j.Machines[m.Name] > 0) {
			continue
		}
		cores, accel, ram := m.Cores+m.StopCores, m.Accel+m.StopAccel, m.RAM+m.StopRAM
		var set []int
		var cost clock.Micros
		for i := range m.Lower {
			if enough(j, cores, accel, ram) {
				break
			}
			v := &m.Lower[i]
			if v.taken || warm && !j.Standing && v.Lost > barelyBegun || !(v.Rank < j.Rank || v.Borrowed && j.Entitled) {
				continue
			}
			cores, accel, ram = cores+v.Cores, accel+v.Accel, ram+v.RAM
			cost += v.Lost + clock.Second
			set = append(set, i)
		}
		if enough(j, cores, accel, ram) && (best == nil || cost < bestCost) {
			best, bestCost, bestSet = m, cost, set
		}
	}
	if best == nil {
		return false
	}
	for _, i := range bestSet {
		v := &best.Lower[i]
		v.taken = true
		best.StopCores += v.Cores
		best.StopAccel += v.Accel
		best.StopRAM += v.RAM
		pl.out.Preempt = append(pl.out.Preempt, v.Task)
	}
	// The claim goes against the room on its way first, so that free room that
	// is too small here stays usable for others.
	claim(&best.StopCores, &best.Cores, j.Cores)
	claim(&best.StopAccel, &best.Accel, j.Accel)
	claim(&best.StopRAM, &best.RAM, j.RAM)
	if q := pl.Team[j.Team]; q != nil {
		q.Cores += j.Cores
		q.Accel += j.Accel
	}
	if j.Zones == nil {
		j.Zones = map[string]int{}
	}
	j.Zones[best.Yard]++
	return true
}

func claim(coming, free *float64, want float64) {
	take := min(*coming, want)
	*coming -= take
	*free -= want - take
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
		from := pl.byName[c.Machine]
		// The rules count the task itself at its source; a move takes it away there.
		if from != nil {
			c.Job.Zones[from.Yard]--
			c.Job.Machines[from.Name]--
		}
		q := pl.Team[c.Job.Team]
		if q != nil {
			q.Cores -= c.Job.Cores
			q.Accel -= c.Job.Accel
		}
		var m *Machine
		if from == nil || pl.stays(c, from) {
			m = nil
		} else if c.Job.SamePlace && c.Job.Pieces > 1 {
			m = pl.target(c.Job, from.Yard, from)
		} else {
			m = pl.target(c.Job, "", from)
		}
		if m == nil || c.Reason == ReasonSpread && c.Job.Machines[m.Name] > 0 || c.Reason == ReasonDrain && m.Images[c.Job.Bundle] != ImageHeld {
			if from != nil {
				c.Job.Zones[from.Yard]++
				c.Job.Machines[from.Name]++
			}
			if q != nil {
				q.Cores += c.Job.Cores
				q.Accel += c.Job.Accel
			}
			if c.Reason != ReasonDrain {
				pl.out.Violations++
			}
			continue
		}
		pl.book(c.Job, m)
		// Until the stop is confirmed the task is still where it was: it counts
		// against the zone cap and the limit in both places.
		c.Job.Zones[from.Yard]++
		c.Job.Machines[from.Name]++
		if q != nil {
			q.Cores += c.Job.Cores
			q.Accel += c.Job.Accel
		}
		from.leaving++
		moves = append(moves, chosen{c, m})
	}
	// Into machines that nobody leaves first.
	sort.SliceStable(moves, func(i, k int) bool { return moves[i].m.leaving == 0 && moves[k].m.leaving > 0 })
	for n, mv := range moves {
		if pl.MoveCap > 0 && n >= pl.MoveCap {
			pl.out.Deferred += len(moves) - n
			break
		}
		pl.out.Moves = append(pl.out.Moves, Move{Task: TaskID{mv.c.Job.UID, mv.c.Index}, From: mv.c.Machine, To: mv.m.Name, Reason: mv.c.Reason})
	}
}

// stays tells whether the current machine is viable after all: it breaks no
// rule once the others have been dealt with.
func (pl *planner) stays(c Candidate, from *Machine) bool {
	if c.Reason == ReasonSpread {
		return from.Banned == "" && c.Job.Machines[from.Name] == 0
	}
	return from.Banned == "" && pl.allowed(c.Job, from)
}
