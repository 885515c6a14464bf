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
	s := schedule{seed: 1, duration: seconds(100), firstLeader: 1, maxMachines: maxSimulatedFleet, submissions: largeFleetSubmissions(),
		timing: workerTiming{report: 6 * time.Second, lease: 24 * time.Second, cancel: 60 * time.Second}}
	s.submissions[0].cancelAfter = seconds(60) // in the outage, or right after it
	s.faults = []fault{
		{kind: controllerKilled, at: seconds(32), duration: seconds(1), controller: 3},
		{kind: stateRefusesAll, at: seconds(50), duration: seconds(12)},
		{kind: zoneIsolated, at: seconds(70), duration: seconds(30), machine: 0},
	}
	s.setup = func(w *simulation) {
		w.rentSmallMachinesOnly()
		w.runAt(30, func() {
			if n := w.bootedMachines(); n < simulatedFleet {
				t.Errorf("%d machines are up before the troubles, want %d", n, simulatedFleet)
			}
		})
		w.runAt(69, func() { w.checkLargeServices("before the zone is lost") })
	}
	playSchedule(t, s, func(w *simulation) {
		w.checkLargeServices("at the end")
		w.checkAllServed()
	})
}

// Four thousand machines, each with a task, lose all their controllers, which return within the
// workers' leases. Nothing that runs is touched, every machine is reconciled, and the state service is
// asked for little more than the records.
func TestTotalLossOfFourThousandMachines(t *testing.T) {
	t.Parallel()
	h := &eventLog{}
	x := totalLoss{lossAtS: 40, outageS: 6, returning: 3}
	s := schedule{seed: 1, duration: seconds(80), firstLeader: 1, maxMachines: maxSimulatedFleet, submissions: largeFleetSubmissions(), onEvent: h.record,
		timing: workerTiming{report: 6 * time.Second, lease: 30 * time.Second, cancel: 60 * time.Second}}
	for node := range 3 {
		s.faults = append(s.faults, fault{kind: controllerKilled, at: seconds(x.lossAtS), duration: seconds(x.outageS + 0.2*float64(node)), controller: node})
	}
	f := lossMeasurements{Scene: "four thousand machines, 3 back after 6.0 s"}
	s.setup = func(w *simulation) {
		w.rentSmallMachinesOnly()
		told := w.cloud.Told
		w.cloud.Told = func(what string) { told(what); h.recordCloud(what) }
		w.runAt(x.lossAtS, func() {
			if n := w.bootedMachines(); n < simulatedFleet {
				t.Errorf("%d machines are up before the loss, want %d", n, simulatedFleet)
			}
		})
		w.wg.Go(func() { w.measureLoss(x, h, &f) })
	}
	var w *simulation
	playSchedule(t, s, func(played *simulation) {
		w = played
		w.checkLargeServices("at the end")
		w.checkAllServed()
	})
	lost := x.lostAt(w)
	back := lost.Add(seconds(x.outageS))
	f.Commands = h.count(back, back.Add(recoveryCheckTime))
	for _, fault := range h.violations(lost, back, back.Add(recoveryCheckTime), func(uid string) bool { return w.views[uid].cancelRequested }) {
		t.Error(fault)
	}
	if f.Commands.Rentals > 0 || f.Commands.Halts > 0 {
		t.Errorf("%+v, want no rentals and no stops", f.Commands)
	}
	if f.AllGoingS == 0 || f.AllGoingS > allGoingWithin {
		t.Errorf("all goes on %.2f s after the first return, want within %v s", f.AllGoingS, allGoingWithin)
	}
	t.Log(f)
	if err := saveMeasurements(f); err != nil {
		t.Error(err)
	}
}
