package cedardoor

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/planinput"
	"cedardoor/store"
	"cedardoor/wire"
)

// The scenes are meetings of troubles that chance seldom brings about. Each plays
// whole services as the random schedules do, under the same checks, and asserts
// besides that its meeting took place.

// A zone with workers and a controller is cut off for much longer than the lease,
// with the leader inside or outside of it, and users cancel through the others.
// What ran in the zone is dropped by then, runs elsewhere, and nothing runs twice.
func TestZoneCutLongerThanTheLease(t *testing.T) {
	for _, leads := range []int{1, 2} {
		t.Run(fmt.Sprintf("node %d leads", leads), func(t *testing.T) {
			s := schedule{seed: 1, duration: seconds(70), firstLeader: leads}
			s.faults = []fault{{kind: zoneIsolated, at: seconds(25), duration: seconds(35), machine: 0}}
			bound := func(zone string, mod func(sp *wire.Spec)) func(sp *wire.Spec) {
				return func(sp *wire.Spec) { mod(sp); sp.Zone = zone }
			}
			s.submissions = []submission{
				newSubmission(1, 2, 0, bound("x", asService(2))), newSubmission(2, 2, 0, bound("x", asService(2))), newSubmission(3, 2, 0, bound("y", asService(2))),
				newSubmission(4, 3, 0, asService(4)), newSubmission(5, 20, 60, func(sp *wire.Spec) { sp.Tasks = 4 }),
			}
			s.submissions[1].cancelOnFault = zoneIsolated
			s.submissions[2].cancelOnFault = zoneIsolated
			var mu sync.Mutex
			var before, late int
			s.setup = func(w *simulation) {
				w.runAt(24.9, func() {
					mu.Lock()
					defer mu.Unlock()
					before = w.tasksByZone("j-1")["x"] + w.tasksByZone("j-2")["x"]
				})
				w.runAt(59, func() { // the leases ended long ago; the zone is cut still
					mu.Lock()
					defer mu.Unlock()
					late = w.tasksByZone("j-2")["x"]
				})
			}
			playSchedule(t, s, func(w *simulation) {
				mu.Lock()
				defer mu.Unlock()
				if before != 4 || late != 0 {
					w.t.Errorf("%d tasks ran in the zone before the cut, want 4; %d cancelled ones at its end, want none", before, late)
				}
				if !w.views["j-2"].cancelledAt.Before(w.startedAt.Add(seconds(30))) || w.views["j-2"].cancelledAt.IsZero() {
					w.t.Errorf("cancelled at %v, want inside the cut", w.views["j-2"].cancelledAt.Sub(w.startedAt))
				}
				w.checkAllServed()
			})
		})
	}
}

// There is more work than room, urgent and not, and every message takes long. The
// largest job, which is in no hurry and needs whole machines, begins within four
// minutes all the same, as does every other. Urgent work alone would find room, so it
// begins soon, however much has waited long beside it: that goes first with one task
// a job, not with so many that they fill all room.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	s := schedule{seed: 2, duration: seconds(300), maxMachines: 3, extraLatency: seconds(0.15)}
	s.submissions = append(s.submissions, newSubmission(1, 10, 20, func(sp *wire.Spec) {
		sp.Tasks, sp.Cores, sp.RAM, sp.Priority, sp.MachineTypes = 20, 8, 16, "low", []string{"b"}
	}))
	for n := range 60 { // more than the machines can work off, at any time
		s.submissions = append(s.submissions, newSubmission(2+n, float64(2+4*n), 12, func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.Priority, sp.MachineTypes = 6, 2, []string{"standard", "high", "critical"}[n%3], []string{"b"}
		}))
	}
	playSchedule(t, s, func(w *simulation) {
		w.mu.Lock()
		defer w.mu.Unlock()
		began := map[string]time.Time{}
		for p, when := range w.firstStarts {
			uid, _, _ := strings.Cut(p, "/")
			if b, ok := began[uid]; !ok || when.Before(b) {
				began[uid] = when
			}
		}
		if b, ok := began["j-1"]; !ok || b.Sub(w.startedAt.Add(seconds(10))) > 4*time.Minute {
			w.t.Errorf("the largest job began after %v, want four minutes at most", b.Sub(w.startedAt.Add(seconds(10))))
		}
		for _, u := range s.submissions[1:] {
			if b, ok := began[u.spec.UID]; u.spec.Priority == "critical" && (!ok || b.Sub(w.startedAt.Add(u.after)) > seconds(15)) {
				w.t.Errorf("%s is critical and began after %v", u.spec.UID, b.Sub(w.startedAt.Add(u.after)))
			} else if !ok || b.Sub(w.startedAt.Add(u.after)) > 4*time.Minute {
				w.t.Errorf("%s began after %v", u.spec.UID, b.Sub(w.startedAt.Add(u.after)))
			}
		}
		left := 0
		for _, n := range w.remainingTasks {
			left += n
		}
		if left == 0 {
			w.t.Error("there was room for all the work")
		}
	})
}

// The state service refuses the leader alone, users cancel through the others, and
// then it is out for all for longer than cancel_s. Inside the outage the others
// start anew, which know nothing of the cancels, then the leader, and again.
func TestLeadersChangeInsideAnOutage(t *testing.T) {
	s := schedule{seed: 3, duration: seconds(100), firstLeader: 2}
	kill := func(node int, when float64) fault {
		return fault{kind: controllerKilled, at: seconds(when), duration: seconds(0.6), controller: node}
	}
	s.faults = []fault{
		{kind: controllerCutFromPeers, at: seconds(19), duration: seconds(3.3), controller: 1}, // no hint of the cancels reaches it
		{kind: stateRefusesNode, at: seconds(20), duration: seconds(43), controller: 1}, {kind: stateRefusesAll, at: seconds(22), duration: seconds(40)},
		kill(0, 22.1), kill(2, 22.1), kill(1, 52), kill(0, 55), kill(2, 58),
		kill(3, 64), kill(3, 68), kill(3, 72), kill(3, 76),
	}
	for n := range 4 {
		s.submissions = append(s.submissions, newSubmission(1+n, 2+float64(n)/4, 0, asService(2)))
	}
	s.submissions[1].cancelOnFault, s.submissions[2].cancelOnFault = stateRefusesNode, stateRefusesNode
	s.submissions = append(s.submissions, newSubmission(5, 18, 30, func(sp *wire.Spec) { sp.Tasks = 3 }))
	playSchedule(t, s, func(w *simulation) {
		for _, uid := range []string{"j-2", "j-3"} {
			if when := w.views[uid].cancelledAt.Sub(w.startedAt); when < seconds(21) || when > seconds(23) {
				w.t.Errorf("%s was cancelled at %v, want while the leader alone was refused", uid, when)
			}
		}
		var rec store.TokenRecord
		if !w.state.Value(store.KeyToken, &rec) || rec.Token < 5 {
			w.t.Errorf("the token is %d: the leaders did not change", rec.Token)
		}
		w.checkAllServed()
	})
}

// Two teams are at their limits while their jobs are cancelled, whose machines
// hang or are cut off, and leaders change. What may still run counts for its team
// until it is proved gone; the work that waits then takes its place.
func TestTeamsAtTheirLimitsWhileLeadersChange(t *testing.T) {
	limits := map[string]float64{"tight": tightLimit, "narrow": 4}
	s := schedule{seed: 4, duration: seconds(80), limits: map[string]float64{"narrow": 4}, firstLeader: 1}
	for i, when := range []float64{25.6, 29, 36, 47} {
		s.faults = append(s.faults, fault{kind: controllerKilled, at: seconds(when), duration: seconds(0.5), controller: 3, machine: i})
	}
	n := 0
	var cancelled []string
	for team, limit := range limits {
		owned := func(replicas int) func(sp *wire.Spec) {
			return func(sp *wire.Spec) { asService(replicas)(sp); sp.Team = team }
		}
		for range int(limit) / 2 {
			n++
			s.submissions = append(s.submissions, newSubmission(n, 2, 0, owned(2)))
			s.submissions[len(s.submissions)-1].cancelOnFault = machineHangs
			cancelled = append(cancelled, s.submissions[len(s.submissions)-1].spec.UID)
		}
		for range int(limit) / 2 { // takes their place
			n++
			s.submissions = append(s.submissions, newSubmission(n, 12, 0, owned(2)))
		}
	}
	// Its machines have room when it goes, so that nothing waits for a boot.
	s.submissions = append(s.submissions, newSubmission(n+1, 1, 0, func(sp *wire.Spec) { asService(4)(sp); sp.Cores, sp.RAM = 4, 8 }))
	s.submissions[n].cancelAfter = seconds(21)
	s.setup = func(w *simulation) {
		w.runAt(25, func() { // the machines of what is cancelled: every other hangs, or is cut off
			for i, m := range w.cloud.Machines() {
				if slices.ContainsFunc(m.Live(), func(p string) bool { uid, _, _ := strings.Cut(p, "/"); return slices.Contains(cancelled, uid) }) {
					kinds := []string{machineHangs}
					if i%2 == 1 {
						kinds = []string{machineReceivesNothing, machineSendsNothing}
					}
					for k, kind := range kinds {
						w.wg.Go(func() { w.injectFault(100+2*i+k, fault{kind: kind, at: seconds(25), duration: seconds(14), machine: i}) })
					}
				}
			}
		})
		w.runAt(24.9, func() {
			for team, limit := range limits {
				if got := w.teamCores(team); got != limit {
					w.t.Errorf("%s uses %v before the troubles, want %v", team, got, limit)
				}
			}
		})
	}
	playSchedule(t, s, func(w *simulation) {
		for team, limit := range limits {
			if got := w.teamCores(team); got != limit {
				w.t.Errorf("%s uses %v after the troubles, want %v", team, got, limit)
			}
		}
		w.checkAllServed()
	})
}

// The leader ends a moment after its request for machines was carried out without
// an answer, and they are up within two seconds. No later request bears its name,
// the work runs, and no machine stays that nobody uses.
func TestRentalWithoutAnswerWhileTheLeaderEnds(t *testing.T) {
	s := schedule{seed: 5, duration: seconds(40), bootTime: seconds(1.2), listLags: true}
	s.submissions = []submission{newSubmission(1, 10, 25, func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.MachineTypes = 6, 4, []string{"b"} }),
		newSubmission(2, 10, 0, asService(2)), newSubmission(3, 14, 0, asService(6)), newSubmission(4, 18, 0, asService(6)), newSubmission(5, 24, 0, asService(6))}
	var mu sync.Mutex
	lost := 0
	var last time.Time
	s.setup = func(w *simulation) {
		hires := map[string]string{}
		w.cloud.Asked = func(who string, q wire.RentRequest) {
			mu.Lock()
			defer mu.Unlock()
			by := fmt.Sprintf("%s %+v", who, q)
			if was, known := hires[q.RequestID]; known && was != by {
				w.recordViolation("hire", "%s asks under the name of %s", by, was)
			}
			hires[q.RequestID] = by
		}
		w.cloud.Rental = func() (refused bool, late time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if lost == 2 || time.Since(last) < 3*time.Second {
				return false, 0
			}
			last = time.Now()
			lost++
			w.wg.Go(func() {
				time.Sleep(200 * time.Millisecond)
				w.injectFault(100+lost, fault{kind: controllerKilled, controller: 3, duration: seconds(3)})
			})
			return false, time.Minute
		}
	}
	playSchedule(t, s, func(w *simulation) {
		if lost != 2 {
			w.t.Errorf("%d requests went without an answer, want 2", lost)
		}
		w.checkAllServed()
		for _, m := range w.cloud.Machines() {
			if len(m.Live()) == 0 {
				w.t.Errorf("%s is paid for, and holds nothing", m.Host.UID)
			}
		}
	})
}

// Messages from the leader to the machines of a zone wait for seconds, while those
// machines are heard: their reports go on and show nothing of the runs that are on
// their way. The job is cancelled meanwhile and its team's next one waits, since the
// runs do arrive in the end. Held the other way, the runs arrive at once and nothing
// of them is heard; and what the state service answers the leader may wait, too.
func TestMessagesHeldOneWay(t *testing.T) {
	const from, until = 24.0, 31.0
	for _, tt := range []struct {
		name  string
		state bool // what the state service answers the leader waits, as well
		way   standin.Way
	}{{"to machines", false, standin.Out}, {"from machines", false, standin.In}, {"to machines and from the state service", true, standin.Out}} {
		t.Run(tt.name, func(t *testing.T) {
			s := schedule{seed: 6, duration: seconds(60), firstLeader: 1, buffersMessages: true}
			tight := func(zone string) func(sp *wire.Spec) {
				return func(sp *wire.Spec) {
					asService(6)(sp)
					sp.Team, sp.Zone, sp.MachineTypes = "tight", zone, []string{"b"}
				}
			}
			s.submissions = []submission{
				// Machines have room and connections when it begins.
				newSubmission(1, 1, 0, func(sp *wire.Spec) { asService(4)(sp); sp.Cores, sp.Zone, sp.MachineTypes = 6, "x", []string{"b"} }),
				newSubmission(2, 1, 0, func(sp *wire.Spec) { asService(4)(sp); sp.Cores, sp.Zone, sp.MachineTypes = 6, "y", []string{"b"} }),
				newSubmission(3, from-0.95, 0, tight("x")), newSubmission(4, from, 0, tight("y")),
			}
			s.submissions[0].cancelAfter, s.submissions[1].cancelAfter = seconds(from-5), seconds(from-5)
			s.submissions[2].cancelAfter = seconds(0.4)
			var mu sync.Mutex
			var there []int // tasks of the cancelled job on machines, through the hold
			s.setup = func(w *simulation) {
				hold := func(yes bool) {
					for _, m := range w.cloud.Machines() {
						if m.Host.Zone == "x" {
							w.network.Hold("node-1", m.Host.UID, tt.way, yes)
						}
					}
				}
				w.runAt(from, func() { hold(true) })
				w.runAt(until, func() { hold(false) })
				if tt.state {
					w.runAt(from+1.2, func() { w.network.Hold("state", "node-1", standin.Out, true) })
					w.runAt(from+4, func() { w.network.Hold("state", "node-1", standin.Out, false) })
				}
				for when := from; when < until; when += 0.1 {
					w.runAt(when, func() {
						mu.Lock()
						defer mu.Unlock()
						there = append(there, w.tasksByZone("j-3")["x"])
					})
				}
			}
			playSchedule(t, s, func(w *simulation) {
				w.mu.Lock()
				next, began := w.firstStarts["j-4/0"]
				w.mu.Unlock()
				if most := slices.Max(there); (most > 0) != (tt.way == standin.In) {
					w.t.Errorf("at most %d tasks of the cancelled job were on machines inside the hold", most)
				}
				if wait := next.Sub(w.startedAt); !began || tt.way == standin.Out && wait < seconds(until) {
					w.t.Errorf("the team's next job began at %v, while runs of the cancelled one were on their way", wait)
				}
				w.checkAllServed()
			})
		})
	}
}

// Jobs of one task each come faster than the machines work them off, so that each
// has waited long when it begins. Urgent work that comes beside them begins soon all
// the same, and none of them waits for ever.
func TestOneTaskJobsThatWaitLongHoldUpNoUrgentWork(t *testing.T) {
	s := schedule{seed: 7, duration: seconds(150), maxMachines: 2}
	for n := range 90 {
		s.submissions = append(s.submissions, newSubmission(1+n, 1+0.8*float64(n), float64(10+n*7%30), func(sp *wire.Spec) {
			sp.Cores, sp.Priority, sp.MachineTypes = 2, "standard", []string{"b"}
		}))
	}
	for n := range 7 {
		s.submissions = append(s.submissions, newSubmission(300+n, 20+15*float64(n), 15, func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.Priority, sp.MachineTypes = 3, 2, "high", []string{"b"}
		}))
	}
	playSchedule(t, s, func(w *simulation) {
		w.mu.Lock()
		defer w.mu.Unlock()
		began := func(u submission, index int) (time.Duration, bool) {
			when, ok := w.firstStarts[fmt.Sprintf("%s/%d", u.spec.UID, index)]
			return when.Sub(w.startedAt.Add(u.after)), ok
		}
		most := time.Duration(0)
		for _, u := range s.submissions {
			for index := range u.spec.Tasks {
				wait, ok := began(u, index)
				switch {
				case u.spec.Priority == "high" && (!ok || wait > seconds(40) || index == 0 && wait > seconds(25)):
					w.t.Errorf("%s/%d is urgent and began after %v", u.spec.UID, index, wait)
				case u.spec.Priority != "high" && u.after < seconds(40) && (!ok || wait > 4*time.Minute):
					w.t.Errorf("%s began after %v (%t)", u.spec.UID, wait, ok)
				}
				if u.spec.Priority != "high" {
					most = max(most, wait)
				}
			}
		}
		if most < planinput.StarvedAfter.Duration()+seconds(10) {
			w.t.Errorf("no job waited for longer than %v: there was room", most)
		}
	})
}
