package cedardoor

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/planinput"
	"cedardoor/wire"
)

// advance moves the clock in steps, letting the leader renew its lease at each.
func (s *site) advance(d time.Duration) {
	s.t.Helper()
	for ; d > 0; d -= time.Second {
		s.clk.Advance(min(d, time.Second))
		if err := s.clk.BlockUntilContext(s.t.Context(), 1); err != nil {
			s.t.Fatal(err)
		}
	}
}

// heartbeat lets a worker report to the leader and execute the answer; and once more
// when the leader has yet to see that the worker knows its token.
func heartbeat(t testing.TB, l *leader, w *standin.Worker) {
	t.Helper()
	for range 2 {
		rep := w.Report()
		ans, ok := l.Heartbeat(&rep)
		if !ok {
			t.Fatalf("beat of %s not answered", rep.Machine)
		}
		w.Take(ans)
		l.mu.Lock()
		machine := l.fleet.Machine(rep.Machine)
		trusted := machine == nil || machine.Reported
		l.mu.Unlock()
		if trusted {
			return
		}
	}
}

// settle runs passes until all direct commands have landed and been taken in.
func (s *site) settle(l *leader) {
	s.t.Helper()
	for range 4 {
		l.pass(s.t.Context())
		for i := 0; ; i++ {
			l.mu.Lock()
			n := l.dispatcher.InFlightCount() + l.detector.OpenProbes()
			l.mu.Unlock()
			if n == 0 {
				break
			}
			if i > 100_000 {
				s.t.Fatal("direct commands never landed")
			}
			<-l.wakeups // every landing wakes the loop
		}
	}
}

func (s *site) resync(l *leader) {
	s.t.Helper()
	if _, err := l.resync(s.t.Context(), 0); err != nil {
		s.t.Fatal(err)
	}
}

// pass lets seconds go by, with a heartbeat of every worker and a pass in each.
func (s *site) pass(l *leader, ws []*standin.Worker, seconds int) {
	s.t.Helper()
	for range seconds {
		s.advance(time.Second)
		for _, w := range ws {
			heartbeat(s.t, l, w)
		}
		s.settle(l)
	}
}

func banned(l *leader, ws []*standin.Worker) (out []string) {
	for _, w := range ws {
		if machine := l.fleet.Machine(w.Beats.Machine); machine.QuarantineReason != "" {
			out = append(out, machine.Name+" "+string(machine.QuarantineReason))
		}
	}
	return out
}

func startsOf(ws []*standin.Worker, uid string) (n int) {
	for _, w := range ws {
		for _, k := range w.Starts() {
			if strings.HasPrefix(k, uid+"/") {
				n++
			}
		}
	}
	return n
}

func (s *site) usable(l *leader, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	machine := l.fleet.Machine(host)
	return machine != nil && planinput.Usable(machine, l.clock.Now())
}

// deliver hands a report to the leader without the worker learning the answer.
func deliver(t *testing.T, l *leader, rep wire.Heartbeat) wire.HeartbeatResponse {
	t.Helper()
	ans, ok := l.Heartbeat(&rep)
	if !ok {
		t.Fatalf("beat of %s not answered", rep.Machine)
	}
	return ans
}

// meanwhile runs a step of the leader in which a transaction gets no answer, lets
// others look while the leader does not know yet, and then lets it go on.
func (s *site) meanwhile(do func(), look func()) {
	s.t.Helper()
	was := s.state.Lost()
	s.state.LoseAnswers(1)
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	for s.state.Lost() == was {
		runtime.Gosched()
	}
	look()
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	go func() {
		// The repeat waits on the clock, as does the elector.
		for s.clk.BlockUntilContext(ctx, 2) == nil {
			s.clk.Advance(100 * time.Millisecond)
		}
	}()
	<-done
}
