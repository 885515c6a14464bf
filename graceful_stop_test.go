package cedardoor

import (
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/internal/standin"
	"cedardoor/plan"
	"cedardoor/wire"
)

// saveS is how long the tasks of savingCluster need to save, in seconds: longer than a cancelled
// task may stay on its machine.
const saveS = 60

// savingCluster is a cluster with two workers. The first runs a job that is stopped with a grace
// period, and another job that is stopped likewise but never cancelled.
type savingCluster struct {
	*testCluster
	node, nextNode *Service
	leader         *leader
	stopLeader     func()
	worker, other  *standin.Worker
}

// newSavingCluster returns a savingCluster on whose first worker both jobs run.
func newSavingCluster(t *testing.T, kind string) *savingCluster {
	t.Helper()
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	s := &savingCluster{testCluster: cluster, node: nodeA, nextNode: nodeB}
	s.leader, s.stopLeader = cluster.elect(nodeA)
	s.worker, s.other = cluster.worker("n-1", "x", true), cluster.worker("n-2", "y", true)
	heartbeat(t, s.leader, s.worker)
	for _, uid := range []string{"j-1", "j-2"} {
		s.worker.SaveWhenStopped(uid, saveS)
		cluster.submit(nodeA, jobSpec(uid, func(spec *wire.Spec) {
			spec.CheckpointIntervalS, spec.CheckpointGraceS = 30, saveS
			if uid == "j-1" {
				spec.Kind, spec.Tasks = kind, 2
			}
		}))
	}
	cluster.syncAndSettle(s.leader)
	cluster.reportAndSettle(s.leader, s.worker)
	if got := s.worker.LiveTasks(); len(got) != 3 {
		t.Fatalf("on the first machine: %v, want three tasks", got)
	}
	heartbeat(t, s.leader, s.other)
	return s
}

// stopBoth stops task j-1/0 in a given way and preempts j-2/0.
func (s *savingCluster) stopBoth(stop func(s *savingCluster, now clock.Micros)) {
	s.leader.mu.Lock()
	now := s.leader.clock.Now()
	stop(s, now)
	s.leader.preempt(plan.TaskID{Job: "j-2"}, now)
	s.leader.mu.Unlock()
	s.settle(s.leader)
}

// failOver replaces the leader by one on the other node, which learns of the first worker's tasks.
func (s *savingCluster) failOver() {
	s.stopLeader()
	s.leader, s.stopLeader = s.elect(s.nextNode)
}

// gracefulStops are the ways in which a leader stops a task with a grace period. The caller holds
// the leader's mu.
var gracefulStops = map[string]struct {
	kind string
	stop func(s *savingCluster, now clock.Micros)
}{
	"preemption": {wire.KindBatch, func(s *savingCluster, now clock.Micros) { s.leader.preempt(plan.TaskID{Job: "j-1"}, now) }},
	"move": {wire.KindBatch, func(s *savingCluster, now clock.Micros) {
		s.leader.move(plan.Move{Task: plan.TaskID{Job: "j-1"}, From: "n-1", To: "n-2", Reason: "test"}, now)
	}},
	"eviction": {wire.KindBatch, func(s *savingCluster, now clock.Micros) {
		s.leader.evict(plan.Eviction{Task: plan.TaskID{Job: "j-1"}, From: "n-1", Reason: "test"}, now)
	}},
	"gang that lost a task": {wire.KindGang, func(s *savingCluster, now clock.Micros) {
		s.worker.EndTask("j-1/1", wire.CauseError)
		report := s.worker.Report()
		events, _ := s.leader.fleet.Report(now, &report, true)
		s.leader.applyEvents(events, now)
	}},
}

// cancellations are the ways in which a leader learns that a job is cancelled.
var cancellations = map[string]func(s *savingCluster){
	"read": func(s *savingCluster) { s.cancelJob(s.node, "j-1"); s.syncAndSettle(s.leader) },
	"hint": func(s *savingCluster) { s.leader.hintCancelled([]string{"j-1"}); s.settle(s.leader) },
	"hint, then read": func(s *savingCluster) {
		s.cancelJob(s.node, "j-1")
		s.leader.hintCancelled([]string{"j-1"})
		s.syncAndSettle(s.leader)
	},
	"before the next leader": func(s *savingCluster) {
		s.cancelJob(s.node, "j-1")
		s.failOver()
		s.reportAndSettle(s.leader, s.worker)
	},
	"by the next leader": func(s *savingCluster) {
		s.failOver()
		s.reportAndSettle(s.leader, s.worker)
		s.cancelJob(s.node, "j-1")
		s.syncAndSettle(s.leader)
	},
}

// Guards against tasks of a cancelled job that go on saving, because they were already being stopped
// with a grace period: the stop without one must be sent at once. Other jobs' tasks still get their
// time to save.
func TestCancellationEndsTasksThatSave(t *testing.T) {
	for stopName, graceful := range gracefulStops {
		for cancelName, cancel := range cancellations {
			t.Run(stopName+"/"+cancelName, func(t *testing.T) {
				s := newSavingCluster(t, graceful.kind)
				s.stopBoth(graceful.stop)
				if status := s.worker.TaskStatus("j-1/0"); status != wire.TaskFlushing {
					t.Fatalf("stopped with a grace period: %q, want saving", status)
				}
				cancel(s)
				s.checkOnlyOtherJobSaves(t)
			})
		}
	}
}

// checkOnlyOtherJobSaves fails the test unless j-2/0 saves and no task of j-1 is on a machine.
func (s *savingCluster) checkOnlyOtherJobSaves(t *testing.T) {
	t.Helper()
	if got := append(s.worker.LiveTasks(), s.other.LiveTasks()...); len(got) != 1 || s.worker.TaskStatus("j-2/0") != wire.TaskFlushing {
		t.Errorf("on machines: %v, want only j-2/0, saving", got)
	}
}

// Guards against tasks of a cancelled job that go on saving when the direct command of one of the
// two stops is lost or late, or when the worker can only be reached by responses to its heartbeats.
func TestCancellationEndsTasksThatSaveDespiteLostCommands(t *testing.T) {
	stop := gracefulStops["preemption"].stop
	for name, meeting := range map[string]func(s *savingCluster){
		"second lost": func(s *savingCluster) {
			s.stopBoth(stop)
			s.worker.HoldNextCommand()
			cancellations["read"](s)
			s.reportAndSettle(s.leader, s.worker)
		},
		"heartbeats only": func(s *savingCluster) {
			s.stopBoth(stop)
			s.worker.SetUnreachable(true)
			cancellations["read"](s)
			s.reportAndSettle(s.leader, s.worker)
		},
		"second lost, response to a heartbeat from before it": func(s *savingCluster) {
			s.stopBoth(stop)
			report := s.worker.Report()
			before, _ := s.leader.Heartbeat(&report)
			s.worker.HoldNextCommand()
			cancellations["read"](s)
			s.worker.HandleResponse(before)
			s.reportAndSettle(s.leader, s.worker)
		},
		"first late": func(s *savingCluster) {
			s.worker.HoldNextCommand()
			s.stopBoth(stop)
			cancellations["read"](s)
			s.worker.DeliverHeldCommands()
		},
		"both late": func(s *savingCluster) {
			s.worker.HoldNextCommand()
			s.stopBoth(stop)
			s.worker.HoldNextCommand()
			cancellations["read"](s)
			s.worker.DeliverHeldCommands()
		},
		"first late, under the next leader": func(s *savingCluster) {
			s.worker.HoldNextCommand()
			s.stopBoth(stop)
			s.failOver()
			s.worker.DeliverHeldCommands()
			cancellations["read"](s)
			s.reportAndSettle(s.leader, s.worker)
		},
		"hint to a leader without lease": func(s *savingCluster) {
			s.stopBoth(stop)
			s.stopLeader()
			s.leader.hintCancelled([]string{"j-1"})
			s.awaitCommands()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSavingCluster(t, wire.KindBatch)
			meeting(s)
			s.checkOnlyOtherJobSaves(t)
		})
	}
}

// awaitCommands waits until no direct command is in flight.
func (s *savingCluster) awaitCommands() {
	for {
		s.leader.mu.Lock()
		inFlight := s.leader.dispatcher.InFlightCount()
		s.leader.mu.Unlock()
		if inFlight == 0 {
			return
		}
		<-s.leader.wakeups
	}
}

// reportFor makes both workers report every three seconds for the given time.
func (s *savingCluster) reportFor(d time.Duration) {
	for ; d > 0; d -= 3 * time.Second {
		s.reportAndSettle(s.leader, s.worker, s.other)
		s.advance(3 * time.Second)
	}
}

// Guards against tasks that lose their progress, because the command to stop them arrives late and
// their grace period has run since it was requested.
func TestLateStopLeavesTimeToSave(t *testing.T) {
	stop := gracefulStops["preemption"].stop
	for name, meeting := range map[string]func(s *savingCluster){
		"on time": func(s *savingCluster) { s.stopBoth(stop) },
		"direct command lost": func(s *savingCluster) {
			s.worker.HoldNextCommand()
			s.stopBoth(stop)
			s.advance(3 * time.Second)
		},
		"direct command late": func(s *savingCluster) {
			s.worker.HoldNextCommand()
			s.stopBoth(stop)
			s.advance(12 * time.Second)
			s.worker.DeliverHeldCommands()
		},
		"machine silent": func(s *savingCluster) {
			s.worker.SetUnreachable(true)
			s.stopBoth(stop)
			s.advance(12 * time.Second)
			s.worker.SetUnreachable(false)
		},
		"next leader, machine silent": func(s *savingCluster) {
			s.failOver()
			s.worker.SetUnreachable(true)
			s.stopBoth(stop)
			s.advance(12 * time.Second)
			s.worker.SetUnreachable(false)
		},
		"next leader stops it again": func(s *savingCluster) {
			s.stopBoth(stop)
			s.advance(12 * time.Second)
			s.failOver()
			s.reportAndSettle(s.leader, s.worker)
			s.stopBoth(stop)
		},
		"silent while it saves": func(s *savingCluster) {
			s.stopBoth(stop)
			s.advance(15 * time.Second)
		},
		"hangs for less than two reports while it saves": func(s *savingCluster) {
			s.stopBoth(stop)
			s.reportFor(6 * time.Second)
			s.reportAndSettle(s.leader, s.worker, s.other)
			s.advance(5 * time.Second)
			s.reportFor(saveS*time.Second - 6*time.Second)
			s.worker.FinishSaving()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSavingCluster(t, wire.KindBatch)
			meeting(s)
			s.reportFor(saveS * time.Second)
			s.worker.FinishSaving()
			for _, task := range []string{"j-1/0", "j-2/0"} {
				if !s.worker.Saved(task) {
					t.Errorf("%s was stopped without its time to save", task)
				}
			}
		})
	}
}
