package cedardoor

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

// advance moves the clock in steps of a second, at each of which the leader can renew its lease.
func (s *testCluster) advance(d time.Duration) {
	s.tb.Helper()
	for ; d > 0; d -= time.Second {
		s.clock.Advance(min(d, time.Second))
		if err := s.clock.BlockUntilContext(s.tb.Context(), 1); err != nil {
			s.tb.Fatal(err)
		}
	}
}

// heartbeat lets a worker report to the leader and execute the response, and once more if
// the worker has not confirmed the leader's token yet.
func heartbeat(t testing.TB, leader *leader, worker *standin.Worker) {
	t.Helper()
	for range 2 {
		report := worker.Report()
		response, ok := leader.Heartbeat(&report)
		if !ok {
			t.Fatalf("heartbeat of %s not answered", report.Machine)
		}
		worker.HandleResponse(response)
		leader.mu.Lock()
		machine := leader.fleet.Machine(report.Machine)
		trusted := machine == nil || machine.Reported
		leader.mu.Unlock()
		if trusted {
			return
		}
	}
}

// settle runs passes until no direct command or probe is in flight.
func (s *testCluster) settle(leader *leader) {
	s.tb.Helper()
	for range 4 {
		leader.pass(s.tb.Context())
		for i := 0; ; i++ {
			leader.mu.Lock()
			inFlight := leader.dispatcher.InFlightCount() + leader.detector.OpenProbes()
			leader.mu.Unlock()
			if inFlight == 0 {
				break
			}
			if i > 100_000 {
				s.tb.Fatal("direct commands are in flight for ever")
			}
			<-leader.wakeups // the end of each wakes the loop
		}
	}
}

// resync lets the leader read all jobs.
func (s *testCluster) resync(leader *leader) {
	s.tb.Helper()
	if _, err := leader.resync(s.tb.Context(), 0); err != nil {
		s.tb.Fatal(err)
	}
}

// syncAndSettle lets the leader read the changes of jobs and settle.
func (s *testCluster) syncAndSettle(leader *leader) {
	s.tb.Helper()
	s.resync(leader)
	s.settle(leader)
}

// reportAndSettle lets workers report in order, and the leader settle.
func (s *testCluster) reportAndSettle(leader *leader, workers ...*standin.Worker) {
	s.tb.Helper()
	for _, worker := range workers {
		heartbeat(s.tb, leader, worker)
	}
	s.settle(leader)
}

// planNow lets the leader place tasks, without recording anything.
func planNow(leader *leader) {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	leader.runPlan(leader.clock.Now())
}

// nextTransaction returns what the leader is about to record, or nil.
func nextTransaction(leader *leader) *statewriter.Transaction {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	return leader.buildTransaction()
}

// awaitResignation returns when no controller leads any more.
func (s *testCluster) awaitResignation() {
	for s.state.Value(store.KeyLeader, nil) {
		runtime.Gosched()
	}
}

// runSeconds lets seconds pass, with a heartbeat of every worker and passes in each.
func (s *testCluster) runSeconds(leader *leader, workers []*standin.Worker, seconds int) {
	s.tb.Helper()
	for range seconds {
		s.advance(time.Second)
		for _, worker := range workers {
			heartbeat(s.tb, leader, worker)
		}
		s.settle(leader)
	}
}

// checkStartedOnce fails the test if an attempt has started more than once on workers. It returns
// the attempts.
func checkStartedOnce(t testing.TB, workers []*standin.Worker) map[string]bool {
	t.Helper()
	started := map[string]bool{}
	for _, worker := range workers {
		for _, attempt := range worker.StartedAttempts() {
			if started[attempt] {
				t.Errorf("%s started twice", attempt)
			}
			started[attempt] = true
		}
	}
	return started
}

// runClock advances the clock in steps, whenever something besides the elector waits on it, until
// ctx ends.
func (s *testCluster) runClock(ctx context.Context, step time.Duration) {
	for s.clock.BlockUntilContext(ctx, 2) == nil {
		s.clock.Advance(step)
	}
}

// quarantined lists the workers' machines that are quarantined, with the reasons.
func quarantined(leader *leader, workers []*standin.Worker) (out []string) {
	for _, worker := range workers {
		if machine := leader.fleet.Machine(worker.Identity.Machine); machine.QuarantineReason != "" {
			out = append(out, machine.Name+" "+string(machine.QuarantineReason))
		}
	}
	return out
}

// startCount returns how many attempts of a job have started on workers.
func startCount(workers []*standin.Worker, uid string) (n int) {
	for _, worker := range workers {
		for _, attempt := range worker.StartedAttempts() {
			if strings.HasPrefix(attempt, uid+"/") {
				n++
			}
		}
	}
	return n
}

// machineUsable reports whether the leader may place tasks on a machine.
func (s *testCluster) machineUsable(leader *leader, host string) bool {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	machine := leader.fleet.Machine(host)
	return machine != nil && machine.Usable(leader.clock.Now())
}

// deliverReport delivers a report to the leader and returns the response, which the worker
// does not receive.
func deliverReport(t *testing.T, leader *leader, report wire.Heartbeat) wire.HeartbeatResponse {
	t.Helper()
	response, ok := leader.Heartbeat(&report)
	if !ok {
		t.Fatalf("heartbeat of %s not answered", report.Machine)
	}
	return response
}

// reportWithoutResponse lets a worker report, and loses the response.
func reportWithoutResponse(leader *leader, worker *standin.Worker) {
	report := worker.Report()
	leader.Heartbeat(&report)
}

// answersHeartbeat reports whether a leader responds to a worker's next report. The worker
// does not receive the response.
func answersHeartbeat(leader *leader, worker *standin.Worker) bool {
	report := worker.Report()
	_, ok := leader.Heartbeat(&report)
	return ok
}

// loseAnswerDuring runs a step of the leader in which the response to a transaction is lost. It
// calls look while the leader does not know the outcome, and then lets the step go on.
func (s *testCluster) loseAnswerDuring(step func(), look func()) {
	s.tb.Helper()
	before := s.state.LostResponses()
	s.state.LoseResponses(1)
	done := make(chan struct{})
	go func() { defer close(done); step() }()
	for s.state.LostResponses() == before {
		runtime.Gosched()
	}
	look()
	ctx, cancel := context.WithCancel(s.tb.Context())
	defer cancel()
	go s.runClock(ctx, 100*time.Millisecond) // for the retry
	<-done
}
