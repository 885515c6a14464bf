package cedardoor

import (
	"context"
	"flag"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cedardoor/wire"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// A measurement on real processes and sockets, outside CI: see docs/quota.md.
var (
	loopbackSpan   = flag.Duration("loopback", 0, "how long real controllers on loopback are submitted to; 0: not at all")
	loopbackBinary = flag.String("loopback.binary", "", "the controller to run")
	loopbackNodes  = flag.Int("loopback.nodes", 3, "how many controllers")
	loopbackFaults = flag.Bool("loopback.faults", true, "kill, pause and refuse leaders meanwhile")
	loopbackFlood  = flag.Int("loopback.flood", 64, "senders of the team that floods")
)

// teamMeasurements are the responses to the submissions of a team.
type teamMeasurements struct {
	mu       sync.Mutex // guards the fields below
	accepted int
	codes    map[int]int    // how many responses had each status code
	latency  *hdr.Histogram // of accepted submissions, in microseconds
}

// loopbackSchedule returns the teams and all jobs that they may submit.
func loopbackSchedule() faultSchedule {
	schedule := faultSchedule{maxMachines: 8, limits: map[string]float64{"flood": 0, "orders": 12, "ledger": 6, "batch": 0},
		guarantees: map[string]float64{"orders": 8, "batch": 4}, timing: workerTiming{report: 2 * time.Second, lease: 10 * time.Second, cancel: 25 * time.Second}}
	for team, n := range map[string]int{"flood": loopbackJobs, "orders": loopbackJobs / 10, "ledger": loopbackJobs / 10, "batch": loopbackJobs / 10} {
		for range n {
			submission := newSubmission(len(schedule.submissions)+1, 0, 1.5, func(spec *wire.Spec) {
				spec.Team, spec.Priority, spec.Cores, spec.Preemptible = team, "standard", 1, true
			})
			schedule.submissions = append(schedule.submissions, submission)
		}
	}
	return schedule
}

// submitLoop submits a team's jobs one after another until ctx ends, with a pause after each. A job
// that was refused is submitted again after retryAfter.
func (l *loopback) submitLoop(ctx context.Context, jobs <-chan string, pause, retryAfter time.Duration, measured *teamMeasurements) {
	for uid := range jobs {
		spec, _ := l.Job(uid)
		encoded := submissionBody(l.t, spec, nil)
		for ctx.Err() == nil {
			began := time.Now()
			code, _, err := l.send(ctx, l.names[rand.IntN(len(l.names))], wire.PathJobs, encoded)
			took := time.Since(began)
			if err != nil {
				code = 0
			}
			accepted := code == http.StatusCreated || code == http.StatusOK
			measured.add(code, accepted, took)
			if accepted {
				l.mu.Lock()
				l.observed.views[uid].accepted, l.observed.views[uid].lastProgress = true, time.Now()
				l.mu.Unlock()
				break
			}
			time.Sleep(retryAfter)
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(pause)
	}
}

// add adds the response to one submission.
func (f *teamMeasurements) add(code int, accepted bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.codes[code]++
	if accepted {
		f.accepted++
		_ = f.latency.RecordValue(max(1, took.Microseconds()))
	}
}

// faultLoop kills, pauses and refuses the leader or another controller in turn until ctx ends.
func (l *loopback) faultLoop(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(4*time.Second + rand.N(4*time.Second)):
		}
		name := l.leaderName()
		if n%4 == 3 {
			name = l.names[rand.IntN(len(l.names))]
		}
		switch n % 3 {
		case 0:
			l.signal(name, syscall.SIGKILL)
			time.Sleep(300*time.Millisecond + rand.N(2*time.Second))
			l.start(name)
		case 1:
			l.signal(name, syscall.SIGSTOP)
			time.Sleep(time.Second + rand.N(12*time.Second))
			l.signal(name, syscall.SIGCONT)
		case 2:
			l.state.Refuse(name, true)
			time.Sleep(8 * time.Second)
			l.state.Refuse(name, false)
		}
	}
}

// TestLoopback submits for four teams, one of which floods, to real controllers on
// loopback while leaders are killed, paused and refused, and checks the workers' events
// against the limits and guarantees. It prints the latencies of each team's submissions.
func TestLoopback(t *testing.T) {
	if *loopbackSpan == 0 {
		t.Skip("a measurement on the wall clock: run with -loopback 60s -loopback.binary target/cedardoor")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoopback(ctx, t, loopbackSchedule())
	monitor := newGuaranteeMonitor(l.simulation)
	time.Sleep(3 * time.Second)
	load, stopLoad := context.WithTimeout(ctx, *loopbackSpan)
	defer stopLoad()
	var wg sync.WaitGroup
	teams := map[string]*teamMeasurements{}
	for team := range l.schedule.limits {
		measured := &teamMeasurements{codes: map[int]int{}, latency: hdr.New(1, 60_000_000, 3)}
		teams[team] = measured
		jobs := make(chan string, loopbackJobs)
		for _, submission := range l.schedule.submissions {
			if submission.spec.Team == team {
				jobs <- submission.spec.UID
			}
		}
		close(jobs)
		senders, pause, retryAfter := 4, time.Second, time.Second
		if team == "flood" {
			senders, pause, retryAfter = *loopbackFlood, 0, 50*time.Millisecond
		}
		for range senders {
			wg.Go(func() { l.submitLoop(load, jobs, pause, retryAfter, measured) })
		}
	}
	if *loopbackFaults {
		wg.Go(func() { l.faultLoop(load) })
	}
	wg.Go(func() {
		for load.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			monitor.sample()
		}
	})
	wg.Wait()
	cancel()
	for _, name := range l.names {
		l.signal(name, syscall.SIGKILL)
	}
	l.wg.Wait()
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		f := teams[team]
		t.Logf("%-7s %6.1f accepted/s  latency ms p50 %.1f p99 %.1f max %.1f  answers %v", team, float64(f.accepted)/loopbackSpan.Seconds(),
			float64(f.latency.ValueAtQuantile(50))/1e3, float64(f.latency.ValueAtQuantile(99))/1e3, float64(f.latency.Max())/1e3, f.codes)
	}
	for team := range l.schedule.guarantees {
		t.Logf("%s: at most %v under its guarantee without a start, %.2f of it on average", team, monitor.longestUnserved[team], monitor.servedShare(team))
	}
	for _, violation := range append(l.violations, monitor.unservedTeams()...) {
		t.Error(violation)
	}
}
