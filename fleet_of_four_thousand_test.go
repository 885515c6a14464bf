package cedardoor

import (
	"testing"
	"time"
)

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

// Four thousand machines, each with a task, lose all their controllers, which return within the
// workers' leases. Nothing that runs is touched, every machine is reconciled, and the state service is
// asked for little more than the records.
func TestTotalLossOfFourThousandMachines(t *testing.T) {
	t.Parallel()
	h := &histories{}
	x := totalLoss{lossAt: 40, spell: 6, returns: 3}
	s := schedule{seed: 1, lasts: at(80), leads: 1, most: sceneMost, users: largeWork(), watch: h.watch,
		timing: timing{report: 6 * time.Second, lease: 30 * time.Second, cancel: 60 * time.Second}}
	for node := range 3 {
		s.troubles = append(s.troubles, trouble{kind: killNode, at: at(x.lossAt), lasts: at(x.spell + 0.2*float64(node)), node: node})
	}
	f := lossFigures{Scene: "four thousand machines, 3 back after 6.0 s"}
	s.setup = func(w *world) {
		w.useSmallMachines()
		told := w.cloud.Told
		w.cloud.Told = func(what string) { told(what); h.told(what) }
		w.during(x.lossAt, func() {
			if n := w.up(); n < sceneFleet {
				t.Errorf("%d machines are up before the loss, want %d", n, sceneFleet)
			}
		})
		w.wg.Go(func() { w.measureLoss(x, h, &f) })
	}
	var w *world
	playOut(t, s, func(played *world) {
		w = played
		w.largeServicesRun("at the end")
		w.served()
	})
	lost := x.lost(w)
	back := lost.Add(at(x.spell))
	f.Commands = h.counts(back, back.Add(recoverySpan))
	for _, fault := range h.faults(lost, back, back.Add(recoverySpan), func(uid string) bool { return w.facts[uid].asked }) {
		t.Error(fault)
	}
	if f.Commands.Rentals > 0 || f.Commands.Halts > 0 {
		t.Errorf("%+v, want no rentals and no stops", f.Commands)
	}
	if f.AllGoingS == 0 || f.AllGoingS > allGoingWithin {
		t.Errorf("all goes on %.2f s after the first return, want within %v s", f.AllGoingS, allGoingWithin)
	}
	t.Log(f)
	if err := keepFigures(f); err != nil {
		t.Error(err)
	}
}
