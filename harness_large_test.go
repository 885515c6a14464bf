package cedardoor

import (
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
