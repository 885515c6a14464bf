package cedardoor

import (
	"fmt"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/jobs"
	"cedardoor/store"
	"cedardoor/wire"
)

// clusterWithWorker is a site with one leading node and a worker that has reported.
func clusterWithWorker(t *testing.T) (*testCluster, *Service, *leader, *standin.Worker) {
	t.Helper()
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	w := s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	return s, n, l, w
}

// clusterWithWorkers is a leader with so many workers, on which the given jobs fail.
func clusterWithWorkers(t *testing.T, n int, bad ...string) (*testCluster, *Service, *leader, []*standin.Worker) {
	t.Helper()
	s := newTestCluster(t)
	node := s.node(nil)
	l, _ := s.elect(node)
	var ws []*standin.Worker
	for i := range n {
		w := s.worker(fmt.Sprintf("n-%d", i+1), []string{"x", "y"}[i%2], true)
		for _, uid := range bad {
			w.FailJob(uid)
		}
		heartbeat(t, l, w)
		ws = append(ws, w)
	}
	return s, node, l, ws
}

// connectedCluster is a site of three joined controllers of which the first leads, with a
// worker that runs a task each of j-1 and j-2.
func connectedCluster(t *testing.T) (s *testCluster, nodes []*Service, l *leader, w *standin.Worker) {
	t.Helper()
	s = newTestCluster(t)
	for range 3 {
		nodes = append(nodes, s.node(nil))
	}
	s.connectWithIsolation(nodes...)
	l, _ = s.elect(nodes[0])
	nodes[0].current.Store(l)
	w = s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	for _, uid := range []string{"j-1", "j-2"} {
		s.submit(nodes[1], jobSpec(uid, nil))
	}
	for _, n := range nodes { // each has had an answer from the state service since it began
		s.checkStatus(n, "j-1", wire.JobQueued)
	}
	s.resync(l)
	s.settle(l)
	heartbeat(t, l, w)
	if got := len(w.Live()); got != 2 {
		t.Fatalf("%d tasks run, want 2", got)
	}
	return s, nodes, l, w
}

// leadWithJob is a platform whose first leader has placed what it could of a job.
func leadWithJob(t *testing.T, n *Service, s *testCluster, tasks int) (l *leader, w *standin.Worker, stop func()) {
	t.Helper()
	l, stop = s.elect(n)
	w = s.worker("n-1", "x", true)
	heartbeat(t, l, w)
	s.submit(n, jobSpec("j-1", func(sp *wire.Spec) { sp.Tasks = tasks }))
	s.resync(l)
	s.settle(l)
	heartbeat(t, l, w)
	return l, w, stop
}

// adoptedFleet is a new leader that has read the records of so many machines with
// the given tasks on each, all of them of predecessors.
func adoptedFleet(t testing.TB, machines, tasks int) (*testCluster, *leader) {
	t.Helper()
	s := newTestCluster(t)
	n := s.node(nil)
	l, _ := s.elect(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for k := range tasks {
		sp := jobSpec(fmt.Sprintf("j-%d", k), func(sp *wire.Spec) {
			sp.Tasks, sp.Cores, sp.RAM = machines, 1, 1
			if k%2 == 0 {
				sp.Kind, sp.Priority, sp.Preemptible = wire.KindService, "critical", false
			}
		})
		raw, err := wire.Marshal(store.JobRecord{Spec: sp})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.addJob(store.JobKey(sp.UID), raw, 1, now); err != nil {
			t.Fatal(err)
		}
		job := l.jobs.Get(sp.UID)
		for i := range machines {
			machine := l.fleet.Ensure(fmt.Sprintf("n-%d", i), now)
			allocation := job.NewAllocation(i, 1)
			allocation.Incarnation = 1
			l.fleet.Adopt(machine, allocation, now)
			job.Tasks[i].State, job.Tasks[i].Allocation, job.Tasks[i].Attempt = jobs.TaskPlaced, allocation, 1
		}
	}
	return s, l
}

// fleetReport is what the i-th machine of an adopted fleet says.
func fleetReport(i, tasks int, tally, token uint64) *wire.Heartbeat {
	b := &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Endpoint: "e", MachineType: "b", Zone: "x", Incarnation: 1, Sequence: tally, Token: token}
	for k := range tasks {
		b.Tasks = append(b.Tasks, wire.TaskReport{Task: fmt.Sprintf("j-%d/%d", k, i), Attempt: 1, Status: wire.TaskRunning})
	}
	return b
}

// trustedFleet is a leader that trusts machines with tasks on each.
func trustedFleet(tb testing.TB, machines, tasks int) (*testCluster, *leader) {
	s, l := adoptedFleet(tb, machines, tasks)
	for tally, token := range []uint64{0, l.term.Token, l.term.Token} {
		for i := range machines {
			rep := fleetReport(i, tasks, uint64(tally)+1, token)
			if _, ok := l.Heartbeat(rep); !ok {
				tb.Fatal("beat not answered")
			}
		}
	}
	return s, l
}
