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
			s := schedule{seed: 1, lasts: at(70), leads: leads}
			s.troubles = []trouble{{kind: cutZone, at: at(25), lasts: at(35), which: 0}}
			bound := func(zone string, mod func(sp *wire.Spec)) func(sp *wire.Spec) {
				return func(sp *wire.Spec) { mod(sp); sp.Zone = zone }
			}
			s.users = []submission{
				user(1, 2, 0, bound("x", standing(2))), user(2, 2, 0, bound("x", standing(2))), user(3, 2, 0, bound("y", standing(2))),
				user(4, 3, 0, standing(4)), user(5, 20, 60, func(sp *wire.Spec) { sp.Tasks = 4 }),
			}
			s.users[1].onKind = cutZone
			s.users[2].onKind = cutZone
			var mu sync.Mutex
			var before, late int
			s.setup = func(w *world) {
				w.during(24.9, func() {
					mu.Lock()
					defer mu.Unlock()
					before = w.on("j-1")["x"] + w.on("j-2")["x"]
				})
				w.during(59, func() { // the leases ended long ago; the zone is cut still
					mu.Lock()
					defer mu.Unlock()
					late = w.on("j-2")["x"]
				})
			}
			playOut(t, s, func(w *world) {
				mu.Lock()
				defer mu.Unlock()
				if before != 4 || late != 0 {
					w.t.Errorf("%d tasks ran in the zone before the cut, want 4; %d cancelled ones at its end, want none", before, late)
				}
				if !w.facts["j-2"].cancelledAt.Before(w.began.Add(at(30))) || w.facts["j-2"].cancelledAt.IsZero() {
					w.t.Errorf("cancelled at %v, want inside the cut", w.facts["j-2"].cancelledAt.Sub(w.began))
				}
				w.served()
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
	s := schedule{seed: 2, lasts: at(300), most: 3, slow: at(0.15)}
	s.users = append(s.users, user(1, 10, 20, func(sp *wire.Spec) {
		sp.Tasks, sp.Cores, sp.RAM, sp.Priority, sp.MachineTypes = 20, 8, 16, "low", []string{"b"}
	}))
	for n := range 60 { // more than the machines can work off, at any time
		s.users = append(s.users, user(2+n, float64(2+4*n), 12, func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.Priority, sp.MachineTypes = 6, 2, []string{"standard", "high", "critical"}[n%3], []string{"b"}
		}))
	}
	playOut(t, s, func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		began := map[string]time.Time{}
		for p, when := range w.first {
			uid, _, _ := strings.Cut(p, "/")
			if b, ok := began[uid]; !ok || when.Before(b) {
				began[uid] = when
			}
		}
		if b, ok := began["j-1"]; !ok || b.Sub(w.began.Add(at(10))) > 4*time.Minute {
			w.t.Errorf("the largest job began after %v, want four minutes at most", b.Sub(w.began.Add(at(10))))
		}
		for _, u := range s.users[1:] {
			if b, ok := began[u.spec.UID]; u.spec.Priority == "critical" && (!ok || b.Sub(w.began.Add(u.at)) > at(15)) {
				w.t.Errorf("%s is critical and began after %v", u.spec.UID, b.Sub(w.began.Add(u.at)))
			} else if !ok || b.Sub(w.began.Add(u.at)) > 4*time.Minute {
				w.t.Errorf("%s began after %v", u.spec.UID, b.Sub(w.began.Add(u.at)))
			}
		}
		left := 0
		for _, n := range w.left {
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
	s := schedule{seed: 3, lasts: at(100), leads: 2}
	kill := func(node int, when float64) trouble {
		return trouble{kind: killNode, at: at(when), lasts: at(0.6), node: node}
	}
	s.troubles = []trouble{
		{kind: cutPeers, at: at(19), lasts: at(3.3), node: 1}, // no hint of the cancels reaches it
		{kind: refuseOne, at: at(20), lasts: at(43), node: 1}, {kind: refuseAll, at: at(22), lasts: at(40)},
		kill(0, 22.1), kill(2, 22.1), kill(1, 52), kill(0, 55), kill(2, 58),
		kill(3, 64), kill(3, 68), kill(3, 72), kill(3, 76),
	}
	for n := range 4 {
		s.users = append(s.users, user(1+n, 2+float64(n)/4, 0, standing(2)))
	}
	s.users[1].onKind, s.users[2].onKind = refuseOne, refuseOne
	s.users = append(s.users, user(5, 18, 30, func(sp *wire.Spec) { sp.Tasks = 3 }))
	playOut(t, s, func(w *world) {
		for _, uid := range []string{"j-2", "j-3"} {
			if when := w.facts[uid].cancelledAt.Sub(w.began); when < at(21) || when > at(23) {
				w.t.Errorf("%s was cancelled at %v, want while the leader alone was refused", uid, when)
			}
		}
		var rec store.TokenRecord
		if !w.state.Value(store.KeyToken, &rec) || rec.Token < 5 {
			w.t.Errorf("the token is %d: the leaders did not change", rec.Token)
		}
		w.served()
	})
}

// Two teams are at their limits while their jobs are cancelled, whose machines
// hang or are cut off, and leaders change. What may still run counts for its team
// until it is proved gone; the work that waits then takes its place.
func TestTeamsAtTheirLimitsWhileLeadersChange(t *testing.T) {
	limits := map[string]float64{"tight": tightLimit, "narrow": 4}
	s := schedule{seed: 4, lasts: at(80), limits: map[string]float64{"narrow": 4}, leads: 1}
	for i, when := range []float64{25.6, 29, 36, 47} {
		s.troubles = append(s.troubles, trouble{kind: killNode, at: at(when), lasts: at(0.5), node: 3, which: i})
	}
	n := 0
	var cancelled []string
	for team, limit := range limits {
		owned := func(replicas int) func(sp *wire.Spec) {
			return func(sp *wire.Spec) { standing(replicas)(sp); sp.Team = team }
		}
		for range int(limit) / 2 {
			n++
			s.users = append(s.users, user(n, 2, 0, owned(2)))
			s.users[len(s.users)-1].onKind = hangMachine
			cancelled = append(cancelled, s.users[len(s.users)-1].spec.UID)
		}
		for range int(limit) / 2 { // takes their place
			n++
			s.users = append(s.users, user(n, 12, 0, owned(2)))
		}
	}
	// Its machines have room when it goes, so that nothing waits for a boot.
	s.users = append(s.users, user(n+1, 1, 0, func(sp *wire.Spec) { standing(4)(sp); sp.Cores, sp.RAM = 4, 8 }))
	s.users[n].cancelAt = at(21)
	s.setup = func(w *world) {
		w.during(25, func() { // the machines of what is cancelled: every other hangs, or is cut off
			for i, m := range w.cloud.Machines() {
				if slices.ContainsFunc(m.Live(), func(p string) bool { uid, _, _ := strings.Cut(p, "/"); return slices.Contains(cancelled, uid) }) {
					kinds := []string{hangMachine}
					if i%2 == 1 {
						kinds = []string{deafMachine, muteMachine}
					}
					for k, kind := range kinds {
						w.wg.Go(func() { w.suffer(100+2*i+k, trouble{kind: kind, at: at(25), lasts: at(14), which: i}) })
					}
				}
			}
		})
		w.during(24.9, func() {
			for team, limit := range limits {
				if got := w.used(team); got != limit {
					w.t.Errorf("%s uses %v before the troubles, want %v", team, got, limit)
				}
			}
		})
	}
	playOut(t, s, func(w *world) {
		for team, limit := range limits {
			if got := w.used(team); got != limit {
				w.t.Errorf("%s uses %v after the troubles, want %v", team, got, limit)
			}
		}
		w.served()
	})
}

// The leader ends a moment after its request for machines was carried out without
// an answer, and they are up within two seconds. No later request bears its name,
// the work runs, and no machine stays that nobody uses.
func TestRentalWithoutAnswerWhileTheLeaderEnds(t *testing.T) {
	s := schedule{seed: 5, lasts: at(40), boot: at(1.2), lag: true}
	s.users = []submission{user(1, 10, 25, func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.MachineTypes = 6, 4, []string{"b"} }),
		user(2, 10, 0, standing(2)), user(3, 14, 0, standing(6)), user(4, 18, 0, standing(6)), user(5, 24, 0, standing(6))}
	var mu sync.Mutex
	lost := 0
	var last time.Time
	s.setup = func(w *world) {
		hires := map[string]string{}
		w.cloud.Asked = func(who string, q wire.RentRequest) {
			mu.Lock()
			defer mu.Unlock()
			by := fmt.Sprintf("%s %+v", who, q)
			if was, known := hires[q.RequestID]; known && was != by {
				w.breach("hire", "%s asks under the name of %s", by, was)
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
				w.suffer(100+lost, trouble{kind: killNode, node: 3, lasts: at(3)})
			})
			return false, time.Minute
		}
	}
	playOut(t, s, func(w *world) {
		if lost != 2 {
			w.t.Errorf("%d requests went without an answer, want 2", lost)
		}
		w.served()
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
			s := schedule{seed: 6, lasts: at(60), leads: 1, holds: true}
			tight := func(zone string) func(sp *wire.Spec) {
				return func(sp *wire.Spec) {
					standing(6)(sp)
					sp.Team, sp.Zone, sp.MachineTypes = "tight", zone, []string{"b"}
				}
			}
			s.users = []submission{
				// Machines have room and connections when it begins.
				user(1, 1, 0, func(sp *wire.Spec) { standing(4)(sp); sp.Cores, sp.Zone, sp.MachineTypes = 6, "x", []string{"b"} }),
				user(2, 1, 0, func(sp *wire.Spec) { standing(4)(sp); sp.Cores, sp.Zone, sp.MachineTypes = 6, "y", []string{"b"} }),
				user(3, from-0.95, 0, tight("x")), user(4, from, 0, tight("y")),
			}
			s.users[0].cancelAt, s.users[1].cancelAt = at(from-5), at(from-5)
			s.users[2].cancelAt = at(0.4)
			var mu sync.Mutex
			var there []int // tasks of the cancelled job on machines, through the hold
			s.setup = func(w *world) {
				hold := func(yes bool) {
					for _, m := range w.cloud.Machines() {
						if m.Host.Zone == "x" {
							w.net.Hold("node-1", m.Host.UID, tt.way, yes)
						}
					}
				}
				w.during(from, func() { hold(true) })
				w.during(until, func() { hold(false) })
				if tt.state {
					w.during(from+1.2, func() { w.net.Hold("state", "node-1", standin.Out, true) })
					w.during(from+4, func() { w.net.Hold("state", "node-1", standin.Out, false) })
				}
				for when := from; when < until; when += 0.1 {
					w.during(when, func() {
						mu.Lock()
						defer mu.Unlock()
						there = append(there, w.on("j-3")["x"])
					})
				}
			}
			playOut(t, s, func(w *world) {
				w.mu.Lock()
				next, began := w.first["j-4/0"]
				w.mu.Unlock()
				if most := slices.Max(there); (most > 0) != (tt.way == standin.In) {
					w.t.Errorf("at most %d tasks of the cancelled job were on machines inside the hold", most)
				}
				if wait := next.Sub(w.began); !began || tt.way == standin.Out && wait < at(until) {
					w.t.Errorf("the team's next job began at %v, while runs of the cancelled one were on their way", wait)
				}
				w.served()
			})
		})
	}
}

// Jobs of one task each come faster than the machines work them off, so that each
// has waited long when it begins. Urgent work that comes beside them begins soon all
// the same, and none of them waits for ever.
func TestOneTaskJobsThatWaitLongHoldUpNoUrgentWork(t *testing.T) {
	s := schedule{seed: 7, lasts: at(150), most: 2}
	for n := range 90 {
		s.users = append(s.users, user(1+n, 1+0.8*float64(n), float64(10+n*7%30), func(sp *wire.Spec) {
			sp.Cores, sp.Priority, sp.MachineTypes = 2, "standard", []string{"b"}
		}))
	}
	for n := range 7 {
		s.users = append(s.users, user(300+n, 20+15*float64(n), 15, func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.Priority, sp.MachineTypes = 3, 2, "high", []string{"b"}
		}))
	}
	playOut(t, s, func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		began := func(u submission, index int) (time.Duration, bool) {
			when, ok := w.first[fmt.Sprintf("%s/%d", u.spec.UID, index)]
			return when.Sub(w.began.Add(u.at)), ok
		}
		most := time.Duration(0)
		for _, u := range s.users {
			for index := range u.spec.Tasks {
				wait, ok := began(u, index)
				switch {
				case u.spec.Priority == "high" && (!ok || wait > at(40) || index == 0 && wait > at(25)):
					w.t.Errorf("%s/%d is urgent and began after %v", u.spec.UID, index, wait)
				case u.spec.Priority != "high" && u.at < at(40) && (!ok || wait > 4*time.Minute):
					w.t.Errorf("%s began after %v (%t)", u.spec.UID, wait, ok)
				}
				if u.spec.Priority != "high" {
					most = max(most, wait)
				}
			}
		}
		if most < planinput.StarvedAfter.Duration()+at(10) {
			w.t.Errorf("no job waited for longer than %v: there was room", most)
		}
	})
}
