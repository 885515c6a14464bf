package cedardoor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

var basicFaultKinds = []string{stateRefusesNode, stateRefusesAll, transactionAnswersLost, transactionsDelayed, stateSlow, machineHangs, machineReceivesNothing, machineSendsNothing,
	heartbeatCopiesDelayed, commandsDelayed, controllerKilled, controllerCutFromPeers, controllerCutFromState}

func randomSchedule(seed uint64) faultSchedule {
	r := rand.New(rand.NewPCG(seed, 7))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	schedule := faultSchedule{seed: seed, duration: seconds(30, 90)}
	add := func(at time.Duration) {
		fault := scheduledFault{kind: basicFaultKinds[r.IntN(len(basicFaultKinds))], at: at, duration: seconds(1, 15), controller: r.IntN(4), machine: r.IntN(8), delay: seconds(0.3, 8)}
		switch fault.kind {
		case controllerKilled:
			fault.duration = seconds(0.2, 5)
		case transactionsDelayed:
			fault.delay = seconds(2, 12)
		case heartbeatCopiesDelayed:
			fault.delay = seconds(2, 25)
		case stateSlow:
			fault.delay = seconds(0.1, 3)
		}
		fault.duration = min(fault.duration, schedule.duration-fault.at)
		schedule.faults = append(schedule.faults, fault)
	}
	for at := seconds(6, 16); at < schedule.duration-time.Second; at += seconds(4, 22) {
		add(at)
		for range r.IntN(3) {
			add(min(at+seconds(0, 3), schedule.duration-time.Second))
		}
	}
	// Cancels that fall between the refusal of the leader and that of all nodes
	// are the hardest to hear of: a leader that all others vouch for goes on.
	gap := r.IntN(3) == 0
	if gap {
		at := seconds(20, schedule.duration.Seconds()-5)
		alone := seconds(0.2, 4)
		lasts := seconds(2, 25)
		schedule.faults = append(schedule.faults, scheduledFault{kind: stateRefusesNode, at: at, duration: min(alone+lasts, schedule.duration-at), controller: 3},
			scheduledFault{kind: stateRefusesAll, at: min(at+alone, schedule.duration-time.Second), duration: min(lasts, max(time.Second, schedule.duration-at-alone)), controller: 3})
	}
	for i := range 4 + r.IntN(7) {
		submission := scheduledSubmission{after: seconds(0, schedule.duration.Seconds()*0.8), runTime: seconds(2, 20), resubmits: r.IntN(3) == 0}
		submission.spec = jobSpec(fmt.Sprintf("j-%d", i+1), func(spec *wire.Spec) {
			spec.Team = []string{"free", "tight"}[r.IntN(2)]
			spec.Cores, spec.RAM = float64(1+r.IntN(3)), float64(1+r.IntN(8))
			spec.Priority = []string{"low", "standard", "high", "critical"}[r.IntN(4)]
			spec.ExpectedS = submission.runTime.Seconds()
			switch r.IntN(3) {
			case 0:
				spec.Tasks = 2 + r.IntN(4)
			case 1:
				spec.Kind, spec.Tasks, spec.ExpectedS = wire.KindService, 1+r.IntN(2), 0
			}
			switch r.IntN(5) {
			case 0:
				spec.Zone = []string{"x", "y"}[r.IntN(2)]
			case 1:
				spec.MachineTypes = []string{"b"}
			case 2:
				spec.Preemptible = false
			}
		})
		switch r.IntN(6) {
		case 0:
			submission.cancelAfter = time.Millisecond // right after it was accepted
		case 1:
			submission.cancelAfter = seconds(1, 30)
		case 2:
			submission.cancelOnDone = submission.spec.Kind == wire.KindBatch
		case 3:
			submission.cancelOnFault = schedule.faults[r.IntN(len(schedule.faults))].kind
		}
		if gap && r.IntN(3) == 0 {
			submission.cancelAfter, submission.cancelOnDone, submission.cancelOnFault = 0, false, stateRefusesNode
		}
		schedule.submissions = append(schedule.submissions, submission)
	}
	return schedule
}

var furtherFaultKinds = []string{zoneIsolated, heartbeatCopiesToNextLeader, commandsRepeated, workerRestarts, machineFailsTasks, spotReclaimedWithNotice, spotReclaimed, rentalsRefused, rentalAnswersDelayed}

// randomFurtherSchedule adds the further troubles, and jobs with further constraints, to
// the schedule of a seed, which stays the same for all else.
func randomFurtherSchedule(seed uint64) faultSchedule {
	schedule := randomSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 11))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	schedule.listLags = true
	for range 2 + r.IntN(4) {
		fault := scheduledFault{kind: furtherFaultKinds[r.IntN(len(furtherFaultKinds))], at: seconds(5, schedule.duration.Seconds()-2), duration: seconds(1, 12), controller: r.IntN(3),
			machine: r.IntN(8), delay: seconds(0.3, 8)}
		if fault.kind == zoneIsolated {
			fault.duration = seconds(2, 2*simulatedLease.Seconds())
		}
		fault.duration = min(fault.duration, schedule.duration-fault.at)
		schedule.faults = append(schedule.faults, fault)
	}
	for i := range schedule.submissions {
		submission := &schedule.submissions[i]
		switch spec := &submission.spec; r.IntN(8) {
		case 0, 1:
			spec.SameZone = spec.Tasks > 1
		case 2, 3:
			spec.Spread = spec.Tasks > 1 && spec.Zone == ""
		case 4, 5:
			spec.CheckpointIntervalS, spec.CheckpointGraceS = 3, 1+4*r.Float64()
		case 6:
			submission.alwaysFails = submission.spec.Kind == wire.KindBatch && !submission.cancelOnDone
		}
	}
	return schedule
}

var holdFaultKinds = []string{zoneMessagesHeld, zoneMessagesHeld, stateMessagesHeld, stateMessagesHeld, peerMessagesHeld, fleetMessagesHeld, fleetMessagesHeld, workerMessagesHeld, workerMessagesHeld, cloudMessagesHeld,
	returnsDelayed, returnsDelayed, rentalsDelayed, stateLinksSlow}

// randomHeldSchedule adds messages that are held and delivered afterwards, and requests to
// the cloud that are carried out late, to the schedule of a seed with further troubles.
func randomHeldSchedule(seed uint64) faultSchedule {
	schedule := randomFurtherSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 13))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	schedule.buffersMessages = true
	for range 2 + r.IntN(5) {
		fault := scheduledFault{kind: holdFaultKinds[r.IntN(len(holdFaultKinds))], at: seconds(4, schedule.duration.Seconds()-2), duration: seconds(1, 8), controller: r.IntN(4),
			machine: r.IntN(8)}
		switch fault.kind {
		case returnsDelayed, rentalsDelayed:
			fault.duration, fault.delay = seconds(2, 20), seconds(1, 15)
		case stateLinksSlow:
			fault.duration, fault.delay = seconds(10, 40), seconds(0.05, 0.4)
		default:
			if r.IntN(3) == 0 {
				fault.duration = seconds(8, 2*simulatedLease.Seconds())
			}
		}
		fault.duration = min(fault.duration, schedule.duration-fault.at)
		schedule.faults = append(schedule.faults, fault)
	}
	// Replicas run all the time, so that every hold finds some.
	schedule.submissions = append(schedule.submissions, scheduledSubmission{spec: jobSpec(fmt.Sprintf("j-%d", len(schedule.submissions)+1), func(spec *wire.Spec) {
		spec.Team, spec.Kind, spec.Tasks, spec.ExpectedS = "free", wire.KindService, 2+r.IntN(3), 0
		spec.Cores, spec.RAM, spec.Preemptible = 1, 2, false
	}), after: seconds(0, 3)})
	return schedule
}

// randomOneWaySchedule is the schedule of a seed with held messages, each hold in one
// direction only: what is sent over it arrives late while the other side is heard.
func randomOneWaySchedule(seed uint64) faultSchedule {
	schedule := randomHeldSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 17))
	for i := range schedule.faults {
		if x := &schedule.faults[i]; slices.Contains(holdFaultKinds, x.kind) {
			x.direction = standin.Outbound + standin.Direction(r.IntN(2))
		}
	}
	return schedule
}

// randomLossSchedule is a schedule of several losses of all controllers, each with returns and further
// ends within a second or some, while the state service is slow, refuses or is out.
func randomLossSchedule(seed uint64) faultSchedule {
	schedule := randomSchedule(seed)
	r := rand.New(rand.NewPCG(seed, 22))
	seconds := func(lo, hi float64) time.Duration {
		return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second)).Truncate(time.Millisecond)
	}
	schedule.faults = slices.DeleteFunc(schedule.faults, func(fault scheduledFault) bool { return fault.kind == controllerKilled || r.IntN(2) == 0 })
	for from := seconds(12, 25); from < schedule.duration; from += seconds(20, 50) {
		spell := []time.Duration{seconds(0, 0.9), seconds(1, 9), seconds(10, 22), seconds(24, 35)}[r.IntN(4)]
		for node := range 3 {
			away := spell + []time.Duration{0, seconds(0, 0.5), seconds(0, 12), 40 * time.Second}[r.IntN(4)]
			if node == int(seed%3) {
				away = spell
			}
			schedule.faults = append(schedule.faults, scheduledFault{kind: controllerKilled, at: from, duration: away, controller: node})
		}
		again := from + spell
		for range r.IntN(5) { // whoever leads by then ends once more
			again += []time.Duration{seconds(0.02, 0.4), seconds(0.2, 3)}[r.IntN(2)]
			schedule.faults = append(schedule.faults, scheduledFault{kind: controllerKilled, at: again, duration: seconds(0.05, 2), controller: 3})
		}
		switch r.IntN(4) {
		case 0:
			schedule.faults = append(schedule.faults, scheduledFault{kind: stateRefusesAll, at: from + spell + seconds(0, 3), duration: seconds(0.5, 15)})
		case 1:
			schedule.faults = append(schedule.faults, scheduledFault{kind: stateSlow, at: from + spell, duration: seconds(1, 8), delay: seconds(0.1, 1.5)})
		case 2:
			schedule.faults = append(schedule.faults, scheduledFault{kind: controllerCutFromPeers, at: from + spell, duration: seconds(1, 12), controller: r.IntN(3)})
		}
	}
	last := time.Duration(0)
	for _, fault := range schedule.faults {
		last = max(last, fault.at+fault.duration)
	}
	schedule.duration = max(schedule.duration, last)
	return schedule
}

// jobsPerRound is how many jobs the teams submit in a minute, with one round of troubles,
// and cycleSpan after how many seconds the next round begins: all of one can be done by then.
const (
	jobsPerRound  = 150
	roundInterval = 130
)

// randomTeamSchedule draws submissions of four teams, two with guarantees and two with limits, at
// all controllers at the same moments, with more work than the cloud has machines for, while
// leaders are killed, cut off and refused.
func randomTeamSchedule(seed uint64) faultSchedule {
	r := rand.New(rand.NewPCG(seed, 21))
	cycles := max(1, *quotaJobs/jobsPerRound)
	lasts := 70 + roundInterval*float64(cycles-1)
	if cycles > 1 {
		lasts += 60 // what earlier rounds have left comes to the last one's
	}
	schedule := faultSchedule{seed: seed, duration: seconds(lasts), maxMachines: 6,
		limits:     map[string]float64{"alpha": 0, "beta": 10, "gamma": 6, "greedy": 0},
		guarantees: map[string]float64{"alpha": 8, "beta": 6}}
	submit := func(from float64, runs float64, mod func(spec *wire.Spec)) {
		submission := newSubmission(len(schedule.submissions)+1, from, runs, mod)
		submission.firstController, submission.stopsPolling = r.IntN(3), true
		schedule.submissions = append(schedule.submissions, submission)
	}
	for cycle := range cycles {
		began := roundInterval * float64(cycle)
		for range 4 {
			submit(began+1+2*r.Float64(), 40, func(spec *wire.Spec) {
				spec.Team, spec.Priority, spec.Tasks, spec.Cores, spec.Preemptible = "greedy", "high", 6, 2, true
			})
		}
		schedule.faults = append(schedule.faults,
			scheduledFault{kind: controllerKilled, at: seconds(began + 14 + 6*r.Float64()), duration: seconds(0.3 + 4*r.Float64()), controller: 3},
			scheduledFault{kind: controllerIsolated, at: seconds(began + 28 + 4*r.Float64()), duration: seconds(6 + 10*r.Float64()), controller: 3},
			scheduledFault{kind: stateRefusesNode, at: seconds(began + 46 + 4*r.Float64()), duration: seconds(8), controller: 3},
			scheduledFault{kind: controllerKilled, at: seconds(began + 58 + 4*r.Float64()), duration: seconds(0.3), controller: 3})
	}
	for range *quotaJobs {
		team := []string{"alpha", "alpha", "alpha", "alpha", "beta", "beta", "gamma"}[r.IntN(7)]
		// Several at the same moment, at different controllers. Every machine fits them: what
		// waits under its team's guarantee has no other cause.
		submit(8+roundInterval*float64(r.IntN(cycles))+2*float64(r.IntN(30)), 2+5*r.Float64(), func(spec *wire.Spec) {
			spec.Team, spec.Priority, spec.Cores, spec.Tasks, spec.Preemptible = team, []string{"low", "standard"}[r.IntN(2)], float64(1+r.IntN(2)), 1+r.IntN(2), true
		})
		if r.IntN(8) == 0 {
			schedule.submissions[len(schedule.submissions)-1].cancelAfter = seconds(10 * r.Float64())
		}
	}
	return schedule
}
