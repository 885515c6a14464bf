package cedardoor

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/planinput"
	"cedardoor/statewriter"
	"cedardoor/store"
	"cedardoor/wire"
)

// advance moves the clock in steps, letting the leader renew its lease at each.
func (s *testCluster) advance(d time.Duration) {
	s.tb.Helper()
	for ; d > 0; d -= time.Second {
		s.clock.Advance(min(d, time.Second))
		if err := s.clock.BlockUntilContext(s.tb.Context(), 1); err != nil {
			s.tb.Fatal(err)
		}
	}
}

// heartbeat lets a worker report to the leader and execute the answer; and once more
// when the leader has yet to see that the worker knows its token.
func heartbeat(t testing.TB, leader *leader, worker *standin.Worker) {
	t.Helper()
	for range 2 {
		report := worker.Report()
		response, ok := leader.Heartbeat(&report)
		if !ok {
			t.Fatalf("beat of %s not answered", report.Machine)
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

// settle runs passes until all direct commands have landed and been taken in.
func (s *testCluster) settle(leader *leader) {
	s.tb.Helper()
	for range 4 {
		leader.pass(s.tb.Context())
		for i := 0; ; i++ {
			leader.mu.Lock()
			n := leader.dispatcher.InFlightCount() + leader.detector.OpenProbes()
			leader.mu.Unlock()
			if n == 0 {
				break
			}
			if i > 100_000 {
				s.tb.Fatal("direct commands never landed")
			}
			<-leader.wakeups // every landing wakes the loop
		}
	}
}

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
	for s.state.Value(store.KeyLead, nil) {
		runtime.Gosched()
	}
}

// runSeconds lets seconds go by, with a heartbeat of every worker and a pass in each.
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

func quarantined(leader *leader, workers []*standin.Worker) (out []string) {
	for _, worker := range workers {
		if machine := leader.fleet.Machine(worker.Identity.Machine); machine.QuarantineReason != "" {
			out = append(out, machine.Name+" "+string(machine.QuarantineReason))
		}
	}
	return out
}

func startCount(workers []*standin.Worker, uid string) (n int) {
	for _, worker := range workers {
		for _, k := range worker.StartedAttempts() {
			if strings.HasPrefix(k, uid+"/") {
				n++
			}
		}
	}
	return n
}

func (s *testCluster) machineUsable(leader *leader, host string) bool {
	leader.mu.Lock()
	defer leader.mu.Unlock()
	machine := leader.fleet.Machine(host)
	return machine != nil && planinput.Usable(machine, leader.clock.Now())
}

// deliverReport hands a report to the leader without the worker learning the answer.
func deliverReport(t *testing.T, leader *leader, report wire.Heartbeat) wire.HeartbeatResponse {
	t.Helper()
	response, ok := leader.Heartbeat(&report)
	if !ok {
		t.Fatalf("beat of %s not answered", report.Machine)
	}
	return response
}

// loseAnswerDuring runs a step of the leader in which a transaction gets no answer, lets
// others look while the leader does not know yet, and then lets it go on.
func (s *testCluster) loseAnswerDuring(do func(), look func()) {
	s.tb.Helper()
	was := s.state.LostResponses()
	s.state.LoseResponses(1)
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	for s.state.LostResponses() == was {
		runtime.Gosched()
	}
	look()
	ctx, cancel := context.WithCancel(s.tb.Context())
	defer cancel()
	go func() {
		// The repeat waits on the clock, as does the elector.
		for s.clock.BlockUntilContext(ctx, 2) == nil {
			s.clock.Advance(100 * time.Millisecond)
		}
	}()
	<-done
}
