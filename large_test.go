package cedardoor

import (
	"testing"
	"time"

	"cedardoor/wire"
)

// The work of the large scene. The cloud has enough to move half of it to other zones.
const (
	sceneMost    = sceneFleet * 13 / 8
	largeService = 160 // replicas of each service, one to a machine
	largeArray   = 100 // tasks of each array, likewise
)

// largeFleet is how many machines there may be, at the least.
const largeFleet = 4000

// largeWork is services and arrays that fill the large fleet, one task to a machine,
// and a team at its limit.
func largeWork() (users []submission) {
	wholeMachine := func(mod func(sp *wire.Spec)) func(sp *wire.Spec) {
		return func(sp *wire.Spec) { mod(sp); sp.Cores, sp.RAM = 4, 8 }
	}
	n := 0
	for range sceneFleet * 4 / 5 / largeService {
		n++
		users = append(users, user(n, 2, 0, wholeMachine(standing(largeService))))
	}
	for range sceneFleet / 5 / largeArray {
		n++
		users = append(users, user(n, 3, 60, wholeMachine(func(sp *wire.Spec) { sp.Tasks, sp.Preemptible = largeArray, true })))
	}
	for range 4 {
		n++
		users = append(users, user(n, 5, 8, func(sp *wire.Spec) { sp.Team, sp.Tasks = "tight", 12 }))
	}
	return users
}

// useSmallMachines lets the cloud have machines for one large task each only.
func (w *world) useSmallMachines() {
	small := bigBuild
	small.SKU, small.Cores, small.RAM, small.HourlyPrice, small.SpotPrice = "s", 4, 16, 0.5, 0.2
	small.BootS, small.FetchGBs, small.CacheGB = 2, 4, 100
	w.cloud.Builds = []wire.MachineType{small}
}

// up is how many machines have booted.
func (w *world) up() (n int) {
	for _, m := range w.cloud.Machines() {
		if m.Up() {
			n++
		}
	}
	return n
}

// Four thousand machines are rented and loaded, their leader is killed, the state
// service goes out and a zone is lost for longer than the lease. No rule breaks,
// and every job is served.
func TestFourThousandMachines(t *testing.T) {
	t.Parallel()
	s := schedule{seed: 1, lasts: at(100), leads: 1, most: sceneMost, users: largeWork(),
		timing: timing{report: 6 * time.Second, lease: 24 * time.Second, cancel: 60 * time.Second}}
	s.users[0].cancelAt = at(60) // in the outage, or right after it
	s.troubles = []trouble{
		{kind: killNode, at: at(32), lasts: at(1), node: 3},
		{kind: refuseAll, at: at(50), lasts: at(12)},
		{kind: cutZone, at: at(70), lasts: at(30), which: 0},
	}
	s.setup = func(w *world) {
		w.useSmallMachines()
		w.during(30, func() {
			if n := w.up(); n < sceneFleet {
				t.Errorf("%d machines are up before the troubles, want %d", n, sceneFleet)
			}
		})
		w.during(69, func() { w.largeServicesRun("before the zone is lost") })
	}
	playOut(t, s, func(w *world) {
		w.largeServicesRun("at the end")
		w.served()
	})
}

// largeServicesRun fails the test unless the replicas of all services that were not
// cancelled run.
func (w *world) largeServicesRun(when string) {
	for _, u := range w.s.users {
		w.mu.Lock()
		asked := w.facts[u.spec.UID].asked
		w.mu.Unlock()
		if u.spec.Kind != wire.KindService || asked {
			continue
		}
		running := 0
		for _, n := range w.on(u.spec.UID) {
			running += n
		}
		if running < u.spec.Tasks {
			w.t.Errorf("%s has %d of %d replicas %s", u.spec.UID, running, u.spec.Tasks, when)
		}
	}
}
