package cedardoor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

var troubleKinds = []string{refuseOne, refuseAll, loseAnswers, lateWrites, slowState, hangMachine, deafMachine, muteMachine,
	lateReports, holdCommand, killNode, cutPeers, cutState}

func drawSchedule(seed uint64) schedule {
	r := rand.New(rand.NewPCG(seed, 7))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	s := schedule{seed: seed, lasts: seconds(30, 90)}
	add := func(at time.Duration) {
		x := trouble{kind: troubleKinds[r.IntN(len(troubleKinds))], at: at, lasts: seconds(1, 15), node: r.IntN(4), which: r.IntN(8), by: seconds(0.3, 8)}
		switch x.kind {
		case killNode:
			x.lasts = seconds(0.2, 5)
		case lateWrites:
			x.by = seconds(2, 12)
		case lateReports:
			x.by = seconds(2, 25)
		case slowState:
			x.by = seconds(0.1, 3)
		}
		x.lasts = min(x.lasts, s.lasts-x.at)
		s.troubles = append(s.troubles, x)
	}
	for at := seconds(6, 16); at < s.lasts-time.Second; at += seconds(4, 22) {
		add(at)
		for range r.IntN(3) {
			add(min(at+seconds(0, 3), s.lasts-time.Second))
		}
	}
	// Cancels that fall between the refusal of the leader and that of all nodes
	// are the hardest to hear of: a leader that all others vouch for goes on.
	gap := r.IntN(3) == 0
	if gap {
		at := seconds(20, s.lasts.Seconds()-5)
		alone := seconds(0.2, 4)
		lasts := seconds(2, 25)
		s.troubles = append(s.troubles, trouble{kind: refuseOne, at: at, lasts: min(alone+lasts, s.lasts-at), node: 3},
			trouble{kind: refuseAll, at: min(at+alone, s.lasts-time.Second), lasts: min(lasts, max(time.Second, s.lasts-at-alone)), node: 3})
	}
	for i := range 4 + r.IntN(7) {
		u := submission{at: seconds(0, s.lasts.Seconds()*0.8), runs: seconds(2, 20), repeats: r.IntN(3) == 0}
		u.spec = spec(fmt.Sprintf("j-%d", i+1), func(sp *wire.Spec) {
			sp.Team = []string{"free", "tight"}[r.IntN(2)]
			sp.Cores, sp.RAM = float64(1+r.IntN(3)), float64(1+r.IntN(8))
			sp.Priority = []string{"low", "standard", "high", "critical"}[r.IntN(4)]
			sp.ExpectedS = u.runs.Seconds()
			switch r.IntN(3) {
			case 0:
				sp.Tasks = 2 + r.IntN(4)
			case 1:
				sp.Kind, sp.Tasks, sp.ExpectedS = wire.KindService, 1+r.IntN(2), 0
			}
			switch r.IntN(5) {
			case 0:
				sp.Zone = []string{"x", "y"}[r.IntN(2)]
			case 1:
				sp.MachineTypes = []string{"b"}
			case 2:
				sp.Preemptible = false
			}
		})
		switch r.IntN(6) {
		case 0:
			u.cancelAt = time.Millisecond // right after it was accepted
		case 1:
			u.cancelAt = seconds(1, 30)
		case 2:
			u.onDone = u.spec.Kind == wire.KindBatch
		case 3:
			u.onKind = s.troubles[r.IntN(len(s.troubles))].kind
		}
		if gap && r.IntN(3) == 0 {
			u.cancelAt, u.onDone, u.onKind = 0, false, refuseOne
		}
		s.users = append(s.users, u)
	}
	return s
}

var furtherKinds = []string{cutZone, keptReports, repeatCommand, restartWorker, faultyMachine, noticeSpot, takeSpot, refuseRental, lateRental}

// drawFurther adds the further troubles, and jobs with further constraints, to
// the schedule of a seed, which stays the same for all else.
func drawFurther(seed uint64) schedule {
	s := drawSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 11))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	s.lag = true
	for range 2 + r.IntN(4) {
		x := trouble{kind: furtherKinds[r.IntN(len(furtherKinds))], at: seconds(5, s.lasts.Seconds()-2), lasts: seconds(1, 12), node: r.IntN(3),
			which: r.IntN(8), by: seconds(0.3, 8)}
		if x.kind == cutZone {
			x.lasts = seconds(2, 2*modelLease.Seconds())
		}
		x.lasts = min(x.lasts, s.lasts-x.at)
		s.troubles = append(s.troubles, x)
	}
	for i := range s.users {
		u := &s.users[i]
		switch sp := &u.spec; r.IntN(8) {
		case 0, 1:
			sp.SameZone = sp.Tasks > 1
		case 2, 3:
			sp.Spread = sp.Tasks > 1 && sp.Zone == ""
		case 4, 5:
			sp.CheckpointIntervalS, sp.CheckpointGraceS = 3, 1+4*r.Float64()
		case 6:
			u.fails = u.spec.Kind == wire.KindBatch && !u.onDone
		}
	}
	return s
}

var heldKinds = []string{holdZone, holdZone, holdState, holdState, holdPeers, holdFleet, holdFleet, holdWorker, holdWorker, holdCloud,
	lateReturn, lateReturn, lateHire, slowLink}

// drawHeld adds messages that are held and delivered afterwards, and requests to
// the cloud that are carried out late, to the schedule of a seed with further troubles.
func drawHeld(seed uint64) schedule {
	s := drawFurther(seed)
	r := rand.New(rand.NewPCG(seed, 13))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	s.holds = true
	for range 2 + r.IntN(5) {
		x := trouble{kind: heldKinds[r.IntN(len(heldKinds))], at: seconds(4, s.lasts.Seconds()-2), lasts: seconds(1, 8), node: r.IntN(4),
			which: r.IntN(8)}
		switch x.kind {
		case lateReturn, lateHire:
			x.lasts, x.by = seconds(2, 20), seconds(1, 15)
		case slowLink:
			x.lasts, x.by = seconds(10, 40), seconds(0.05, 0.4)
		default:
			if r.IntN(3) == 0 {
				x.lasts = seconds(8, 2*modelLease.Seconds())
			}
		}
		x.lasts = min(x.lasts, s.lasts-x.at)
		s.troubles = append(s.troubles, x)
	}
	// Replicas run all the time, so that every hold finds some.
	s.users = append(s.users, submission{spec: spec(fmt.Sprintf("j-%d", len(s.users)+1), func(sp *wire.Spec) {
		sp.Team, sp.Kind, sp.Tasks, sp.ExpectedS = "free", wire.KindService, 2+r.IntN(3), 0
		sp.Cores, sp.RAM, sp.Preemptible = 1, 2, false
	}), at: seconds(0, 3)})
	return s
}

// drawOneWay is the schedule of a seed with held messages, each hold in one
// direction only: what is sent over it arrives late while the other side is heard.
func drawOneWay(seed uint64) schedule {
	s := drawHeld(seed)
	r := rand.New(rand.NewPCG(seed, 17))
	for i := range s.troubles {
		if x := &s.troubles[i]; slices.Contains(heldKinds, x.kind) {
			x.way = standin.Out + standin.Way(r.IntN(2))
		}
	}
	return s
}

// drawLosses is a schedule of several losses of all controllers, each with returns and further
// ends within a second or some, while the state service is slow, refuses or is out.
func drawLosses(seed uint64) schedule {
	s := drawSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 22))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	s.troubles = slices.DeleteFunc(s.troubles, func(x trouble) bool { return x.kind == killNode || r.IntN(2) == 0 })
	for from := seconds(12, 25); from < s.lasts; from += seconds(20, 50) {
		spell := []time.Duration{seconds(0, 0.9), seconds(1, 9), seconds(10, 22), seconds(24, 35)}[r.IntN(4)]
		for node := range 3 {
			away := spell + []time.Duration{0, seconds(0, 0.5), seconds(0, 12), 40 * time.Second}[r.IntN(4)]
			if node == int(seed%3) {
				away = spell
			}
			s.troubles = append(s.troubles, trouble{kind: killNode, at: from, lasts: away, node: node})
		}
		again := from + spell
		for range r.IntN(5) { // whoever leads by then ends once more
			again += []time.Duration{seconds(0.02, 0.4), seconds(0.2, 3)}[r.IntN(2)]
			s.troubles = append(s.troubles, trouble{kind: killNode, at: again, lasts: seconds(0.05, 2), node: 3})
		}
		switch r.IntN(4) {
		case 0:
			s.troubles = append(s.troubles, trouble{kind: refuseAll, at: from + spell + seconds(0, 3), lasts: seconds(0.5, 15)})
		case 1:
			s.troubles = append(s.troubles, trouble{kind: slowState, at: from + spell, lasts: seconds(1, 8), by: seconds(0.1, 1.5)})
		case 2:
			s.troubles = append(s.troubles, trouble{kind: cutPeers, at: from + spell, lasts: seconds(1, 12), node: r.IntN(3)})
		}
	}
	last := time.Duration(0)
	for _, x := range s.troubles {
		last = max(last, x.at+x.lasts)
	}
	s.lasts = max(s.lasts, last)
	return s
}

// jobsPerCycle is how many jobs the teams submit in a minute, with one round of troubles,
// and cycleSpan after how many seconds the next round begins: all of one can be done by then.
const (
	jobsPerCycle = 150
	cycleSpan    = 130
)

// teamSchedule draws submissions of four teams, two with guarantees and two with limits, at
// all controllers at the same moments, with more work than the cloud has machines for, while
// leaders are killed, cut off and refused.
func teamSchedule(seed uint64) schedule {
	r := rand.New(rand.NewPCG(seed, 21))
	cycles := max(1, *quotaJobs/jobsPerCycle)
	lasts := 70 + cycleSpan*float64(cycles-1)
	if cycles > 1 {
		lasts += 60 // what earlier rounds have left comes to the last one's
	}
	s := schedule{seed: seed, lasts: at(lasts), most: 6,
		limits: map[string]float64{"alpha": 0, "beta": 10, "gamma": 6, "greedy": 0},
		floors: map[string]float64{"alpha": 8, "beta": 6}}
	submit := func(from float64, runs float64, mod func(sp *wire.Spec)) {
		u := user(len(s.users)+1, from, runs, mod)
		u.node, u.light = r.IntN(3), true
		s.users = append(s.users, u)
	}
	for cycle := range cycles {
		began := cycleSpan * float64(cycle)
		for range 4 {
			submit(began+1+2*r.Float64(), 40, func(sp *wire.Spec) {
				sp.Team, sp.Priority, sp.Tasks, sp.Cores, sp.Preemptible = "greedy", "high", 6, 2, true
			})
		}
		s.troubles = append(s.troubles,
			trouble{kind: killNode, at: at(began + 14 + 6*r.Float64()), lasts: at(0.3 + 4*r.Float64()), node: 3},
			trouble{kind: cutNode, at: at(began + 28 + 4*r.Float64()), lasts: at(6 + 10*r.Float64()), node: 3},
			trouble{kind: refuseOne, at: at(began + 46 + 4*r.Float64()), lasts: at(8), node: 3},
			trouble{kind: killNode, at: at(began + 58 + 4*r.Float64()), lasts: at(0.3), node: 3})
	}
	for range *quotaJobs {
		team := []string{"alpha", "alpha", "alpha", "alpha", "beta", "beta", "gamma"}[r.IntN(7)]
		// Several at the same moment, at different controllers. Every machine fits them: what
		// waits under its team's guarantee has no other cause.
		submit(8+cycleSpan*float64(r.IntN(cycles))+2*float64(r.IntN(30)), 2+5*r.Float64(), func(sp *wire.Spec) {
			sp.Team, sp.Priority, sp.Cores, sp.Tasks, sp.Preemptible = team, []string{"low", "standard"}[r.IntN(2)], float64(1+r.IntN(2)), 1+r.IntN(2), true
		})
		if r.IntN(8) == 0 {
			s.users[len(s.users)-1].cancelAt = at(10 * r.Float64())
		}
	}
	return s
}
