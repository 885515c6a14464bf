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

// teamMeasurements are the answers that one team's senders got.
type teamMeasurements struct {
	mu       sync.Mutex // guards the fields below
	accepted int
	statuses map[int]int
	latency  *hdr.Histogram // of accepted submissions, in microseconds
}

// loopbackSchedule is the teams and all jobs that they may submit.
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

// submitLoop submits a team's jobs one after another until ctx ends, with a pause between them and a
// longer one after a refusal. A job that was refused is submitted again.
func (l *loopback) submitLoop(ctx context.Context, jobs <-chan string, pause, refused time.Duration, figures *teamMeasurements) {
	for uid := range jobs {
		spec, _ := l.Job(uid)
		encoded := submissionBody(l.t, spec, nil)
		for ctx.Err() == nil {
			began := time.Now()
			status, _, err := l.send(ctx, l.names[rand.IntN(len(l.names))], wire.PathJobs, encoded)
			took := time.Since(began)
			if err != nil {
				status = 0
			}
			taken := status == http.StatusCreated || status == http.StatusOK
			figures.note(status, taken, took)
			if taken {
				l.mu.Lock()
				l.observed.views[uid].accepted, l.observed.views[uid].lastProgress = true, time.Now()
				l.mu.Unlock()
				break
			}
			time.Sleep(refused)
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(pause)
	}
}

func (f *teamMeasurements) note(status int, taken bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
	if taken {
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
// loopback while leaders are killed, paused and refused, and holds the workers' histories
// against the limits and guarantees. It prints how each team's submissions went.
func TestLoopback(t *testing.T) {
	if *loopbackSpan == 0 {
		t.Skip("a measurement on the wall clock: run with -loopback 60s -loopback.binary target/cedardoor")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoopback(ctx, t, loopbackSchedule())
	watch := newGuaranteeMonitor(l.simulation)
	time.Sleep(3 * time.Second)
	load, stopLoad := context.WithTimeout(ctx, *loopbackSpan)
	defer stopLoad()
	var wg sync.WaitGroup
	all := map[string]*teamMeasurements{}
	for team := range l.schedule.limits {
		figures := &teamMeasurements{statuses: map[int]int{}, latency: hdr.New(1, 60_000_000, 3)}
		all[team] = figures
		jobs := make(chan string, loopbackJobs)
		for _, submission := range l.schedule.submissions {
			if submission.spec.Team == team {
				jobs <- submission.spec.UID
			}
		}
		close(jobs)
		senders, pause, refused := 4, time.Second, time.Second
		if team == "flood" {
			senders, pause, refused = *loopbackFlood, 0, 50*time.Millisecond
		}
		for range senders {
			wg.Go(func() { l.submitLoop(load, jobs, pause, refused, figures) })
		}
	}
	if *loopbackFaults {
		wg.Go(func() { l.faultLoop(load) })
	}
	wg.Go(func() {
		for load.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			watch.sample()
		}
	})
	wg.Wait()
	cancel()
	for _, name := range l.names {
		l.signal(name, syscall.SIGKILL)
	}
	l.wg.Wait()
	for _, team := range slices.Sorted(maps.Keys(all)) {
		f := all[team]
		t.Logf("%-7s %6.1f accepted/s  latency ms p50 %.1f p99 %.1f max %.1f  answers %v", team, float64(f.accepted)/loopbackSpan.Seconds(),
			float64(f.latency.ValueAtQuantile(50))/1e3, float64(f.latency.ValueAtQuantile(99))/1e3, float64(f.latency.Max())/1e3, f.statuses)
	}
	for team := range l.schedule.guarantees {
		t.Logf("%s: at most %v under its guarantee without a start, %.2f of it on average", team, watch.longestUnserved[team], watch.servedShare(team))
	}
	for _, violation := range append(l.violations, watch.unservedTeams()...) {
		t.Error(violation)
	}
}
