package cedardoor

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cedardoor/internal/standin"
)

// troubled gives a trouble of a kind that goes on now.
func (w *world) troubled(kind string) (trouble, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.active {
		if x.kind == kind {
			return x, true
		}
	}
	return trouble{}, false
}

// had tells whether the schedule holds a kind of trouble.
func (w *world) had(kinds ...string) bool {
	return slices.ContainsFunc(w.s.troubles, func(x trouble) bool { return slices.Contains(kinds, x.kind) })
}

// heldFor is for how long messages are held, all in all.
func (w *world) heldFor() (sum time.Duration) {
	for _, x := range w.s.troubles {
		if slices.Contains([]string{holdZone, holdState, holdPeers, holdFleet, holdWorker}, x.kind) {
			sum += x.lasts
		}
	}
	return sum
}

// apart lists the pairs of hosts whose messages a trouble holds.
func (w *world) apart(x trouble, name string, m *standin.Machine) (pairs [][2]string) {
	switch x.kind {
	case holdState:
		pairs = append(pairs, [2]string{name, "state"})
	case holdCloud:
		pairs = append(pairs, [2]string{name, "cloud"})
	case holdPeers:
		for o := range 3 {
			if other := fmt.Sprintf("node-%d", o+1); other != name {
				pairs = append(pairs, [2]string{name, other})
			}
		}
	case holdFleet:
		for _, m := range w.cloud.Machines() {
			pairs = append(pairs, [2]string{name, m.Host.UID})
		}
	case holdWorker:
		if m != nil && x.which < 4 {
			pairs = append(pairs, [2]string{name, m.Host.UID})
		} else if m != nil { // it is held apart from every controller
			for o := range 3 {
				pairs = append(pairs, [2]string{fmt.Sprintf("node-%d", o+1), m.Host.UID})
			}
		}
	}
	return pairs
}

// suffer begins a trouble and ends it.
func (w *world) suffer(i int, x trouble) {
	if x.node == 3 {
		x.node = w.leader()
	}
	w.note("BEGINS %v", x)
	w.mu.Lock()
	w.active[i] = x
	w.mu.Unlock()
	name := fmt.Sprintf("node-%d", x.node+1)
	var m *standin.Machine
	if all := w.cloud.Machines(); len(all) > 0 {
		m = all[x.which%len(all)]
	}
	end := func() {}
	switch p := w.running(name); {
	case x.kind == refuseOne:
		w.state.Refuse(name, true)
		end = func() { w.state.Refuse(name, false) }
	case x.kind == refuseAll:
		w.state.Refuse("", true)
		end = func() { w.state.Refuse("", false) }
	case x.kind == hangMachine && m != nil && m.Up():
		w.mu.Lock()
		w.hangs[m] += x.lasts
		w.mu.Unlock()
		m.Hang(true)
		end = func() { m.Hang(false) }
	case x.kind == deafMachine && m != nil:
		m.Deafen(true)
		end = func() { m.Deafen(false) }
	case x.kind == muteMachine && m != nil:
		w.mu.Lock()
		w.muted[m] = true
		w.mu.Unlock()
		end = func() { w.mu.Lock(); delete(w.muted, m); w.mu.Unlock() }
	case x.kind == cutZone:
		zone := nodeZones[x.which%2]
		w.net.Isolate(zone, true)
		end = func() { w.net.Isolate(zone, false) }
	case x.kind == holdZone:
		zone := nodeZones[x.which%len(nodeZones)]
		w.net.HoldZone(zone, x.way, true)
		end = func() { w.net.HoldZone(zone, x.way, false) }
	case slices.Contains([]string{holdState, holdPeers, holdFleet, holdWorker, holdCloud}, x.kind):
		apart := w.apart(x, name, m)
		for _, c := range apart {
			w.net.Hold(c[0], c[1], x.way, true)
		}
		end = func() {
			for _, c := range apart {
				w.net.Hold(c[0], c[1], x.way, false)
			}
		}
	case x.kind == restartWorker && m != nil:
		m.Restart()
		w.mu.Lock()
		delete(w.lines, m)
		w.mu.Unlock()
	case x.kind == faultyMachine && m != nil:
		w.mu.Lock()
		w.faulty[m] = true
		w.mu.Unlock()
	case (x.kind == noticeSpot || x.kind == takeSpot) && m != nil && m.Host.Preemptible:
		if x.kind == noticeSpot {
			m.Warn(x.lasts)
			end = func() { w.cloud.Take(m) }
			break
		}
		w.cloud.Take(m)
	case x.kind == killNode && p != nil:
		p.stop()
		end = func() { w.launch(x.node) }
	case x.kind == cutNode:
		// The schedule's setup has given each controller a zone of its own, by its name.
		w.net.Isolate(name, true)
		end = func() { w.net.Isolate(name, false) }
	case (x.kind == cutPeers || x.kind == cutState) && p != nil:
		var pairs [][2]string
		w.mu.Lock()
		for n := range w.born {
			from := fmt.Sprintf("%s/%d", name, n+1)
			if x.kind == cutState {
				pairs = append(pairs, [2]string{from, "state:1"})
				continue
			}
			for o := range 3 {
				other := fmt.Sprintf("node-%d", o+1)
				if other != name {
					pairs = append(pairs, [2]string{from, other + ":90"}, [2]string{fmt.Sprintf("%s/%d", other, n+1), name + ":90"})
				}
			}
		}
		w.mu.Unlock()
		for _, c := range pairs {
			w.net.SetCut(c[0], c[1], true)
		}
		end = func() {
			for _, c := range pairs {
				w.net.SetCut(c[0], c[1], false)
			}
		}
	}
	key := fmt.Sprintf("%s %s", x.kind, name)
	switch {
	case slices.Contains(heldKinds, x.kind):
		key = fmt.Sprintf("%s %d", x.kind, i) // each ends by itself
	case x.kind == refuseAll:
		key = x.kind
	case x.kind == cutZone:
		key = x.kind + " " + nodeZones[x.which%2]
	case m != nil && slices.Contains([]string{hangMachine, deafMachine, muteMachine}, x.kind):
		key = x.kind + " " + m.Host.UID
	}
	w.mu.Lock()
	w.lasting[key]++
	w.mu.Unlock()
	time.Sleep(x.lasts)
	w.mu.Lock()
	delete(w.active, i)
	w.lasting[key]--
	last := w.lasting[key] == 0
	w.mu.Unlock()
	if last || x.kind == killNode || x.kind == noticeSpot {
		end() // otherwise another of the kind goes on
	}
	w.note("ENDS %s (%s)", x.kind, name)
}

// during runs look at a moment of a scene.
func (w *world) during(when float64, look func()) {
	w.wg.Go(func() {
		time.Sleep(time.Until(w.began.Add(at(when))))
		if w.ctx.Err() == nil {
			look()
		}
	})
}

// crashLeaders ends whoever leads, or is about to, right before the n-th request to the state service that the
// controllers make from a moment on, and again as often, half a second after each end at the earliest.
func (w *world) crashLeaders(from time.Time, n, times int) {
	var mu sync.Mutex
	asked, next := 0, from
	w.state.Before(func(string) {
		mu.Lock()
		defer mu.Unlock()
		if times == 0 || time.Now().Before(next) {
			return
		}
		if asked++; asked < n {
			return
		}
		asked, times, next = 0, times-1, time.Now().Add(500*time.Millisecond)
		p := w.running(fmt.Sprintf("node-%d", w.leader()+1))
		if p == nil {
			return
		}
		w.note("%s ends right before a request", p.name)
		p.stop()
		w.wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			if w.ctx.Err() == nil {
				w.launch(int(p.name[len(p.name)-1] - '1'))
			}
		})
	})
}
