package cedardoor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// A measurement on real processes and sockets, outside CI: see docs/quota.md.
var (
	loopbackSpan   = flag.Duration("loopback", 0, "how long real controllers on loopback are submitted to; 0: not at all")
	loopbackBinary = flag.String("loopback.binary", "", "the controller to run")
	loopbackNodes  = flag.Int("loopback.nodes", 3, "how many controllers")
	loopbackFaults = flag.Bool("loopback.faults", true, "kill, pause and refuse leaders meanwhile")
	loopbackFlood  = flag.Int("loopback.flood", 64, "senders of the team that floods")
)

// The state service's changes a second in the measurement, and the most jobs of a team.
const (
	loopbackWrites = 100
	loopbackJobs   = 30_000
)

// loopback is a platform of real controllers on loopback sockets, with stand-ins around them.
type loopback struct {
	*world
	names   []string
	clients map[string]string // addresses for users and workers, by controller
	asked   map[string]string // addresses for operators
	files   map[string]string
	options map[string]string // operators' settings
	http    *http.Client

	procMu sync.Mutex // guards procs
	procs  map[string]*exec.Cmd
}

// teamFigures are the answers that one team's senders got.
type teamFigures struct {
	mu       sync.Mutex // guards the fields below
	accepted int
	statuses map[int]int
	latency  *hdr.Histogram // of accepted submissions, in microseconds
}

// serveLoopback serves a handler on a free port.
func serveLoopback(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddress is a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// limitedState refuses transactions beyond the state service's changes a second.
func limitedState(h http.Handler, writes *rate.Limiter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var txn wire.Txn
		if r.URL.Path == wire.PathCommit && wire.Unmarshal(body, &txn) == nil && !writes.AllowN(time.Now(), len(txn.Operations)) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// loopbackSchedule is the teams and all jobs that they may submit.
func loopbackSchedule() schedule {
	s := schedule{most: 8, limits: map[string]float64{"flood": 0, "orders": 12, "ledger": 6, "batch": 0},
		floors: map[string]float64{"orders": 8, "batch": 4}, timing: timing{report: 2 * time.Second, lease: 10 * time.Second, cancel: 25 * time.Second}}
	for team, n := range map[string]int{"flood": loopbackJobs, "orders": loopbackJobs / 10, "ledger": loopbackJobs / 10, "batch": loopbackJobs / 10} {
		for range n {
			u := user(len(s.users)+1, 0, 1.5, func(sp *wire.Spec) { sp.Team, sp.Priority, sp.Cores, sp.Preemptible = team, "standard", 1, true })
			s.users = append(s.users, u)
		}
	}
	return s
}

// newLoopback sets the platform up and starts its controllers.
func newLoopback(ctx context.Context, t *testing.T, s schedule) *loopback {
	l := &loopback{world: newWorld(ctx, t, s), clients: map[string]string{}, asked: map[string]string{}, files: map[string]string{}, options: map[string]string{},
		procs: map[string]*exec.Cmd{},
		http:  &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	l.cloud.Boot = l.bootLoopback
	cloudAddress := serveLoopback(t, l.cloud)
	writes := rate.NewLimiter(loopbackWrites, loopbackWrites)
	nodes := make([]config.Node, *loopbackNodes)
	for i := range nodes {
		nodes[i] = config.Node{Node: fmt.Sprintf("node-%d", i+1), Area: "x", Addr: freeAddress(t)}
		l.names = append(l.names, nodes[i].Node)
		l.clients[nodes[i].Node], l.asked[nodes[i].Node] = freeAddress(t), freeAddress(t)
	}
	for i, node := range nodes {
		cfg := config.Platform{Node: node.Node, Area: "x", ClientListen: l.clients[node.Node], PeerListen: node.Addr, Others: slices.Concat(nodes[:i], nodes[i+1:])}
		cfg.Outside.State = serveLoopback(t, limitedState(l.state.Handler(node.Node), writes))
		cfg.Outside.Cloud = cloudAddress
		cfg.Facts = config.Facts{InitialSize: 3, Zones: []string{"x", "y"},
			Workers: config.Workers{ReportS: l.s.timing.report.Seconds(), LeaseS: l.s.timing.lease.Seconds(), CancelS: l.s.timing.cancel.Seconds()},
			State:   config.State{RPS: 250, WriteRPS: loopbackWrites, ValueKB: 8, TxnOps: 24}, Cloud: config.Cloud{RPS: 20, ListLagS: 2},
			Limits: config.Limits{CoreShare: 1, MemMB: 300, FDLimit: 2000}}
		for team, limit := range l.s.limits {
			cfg.Facts.Teams = append(cfg.Facts.Teams, config.Team{Name: team, CPUsMax: limit, CPUs: l.s.floors[team]})
		}
		raw, err := json.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		l.files[node.Node] = filepath.Join(t.TempDir(), node.Node+".json")
		l.options[node.Node] = filepath.Join(t.TempDir(), node.Node+"-settings.json")
		options := fmt.Appendf(nil, `{"metrics": {"listen": %q}}`, l.asked[node.Node])
		if err := errors.Join(os.WriteFile(l.files[node.Node], raw, 0o600), os.WriteFile(l.options[node.Node], options, 0o600)); err != nil {
			t.Fatal(err)
		}
		l.start(node.Node)
	}
	return l
}

// start runs a controller's process.
func (l *loopback) start(name string) {
	l.procMu.Lock()
	defer l.procMu.Unlock()
	cmd := exec.Command(*loopbackBinary, "--config", l.files[name], "--settings", l.options[name])
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		l.t.Error(err)
		return
	}
	l.procs[name] = cmd
}

// signal sends a signal to a controller's process; after a kill it is waited for.
func (l *loopback) signal(name string, sig syscall.Signal) {
	l.procMu.Lock()
	defer l.procMu.Unlock()
	cmd := l.procs[name]
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		_ = cmd.Wait()
	}
}

// leads names the controller that the state service holds for the leader.
func (l *loopback) leads() string {
	var rec store.LeaderRecord
	if l.state.Value(store.KeyLeader, &rec) {
		return rec.Node
	}
	return l.names[0]
}

// bootLoopback plays a rented machine whose worker talks over loopback.
func (l *loopback) bootLoopback(h wire.Machine, b wire.MachineType) *standin.Machine {
	m := &standin.Machine{Host: h, Build: b, Report: l.s.timing.report, Lease: l.s.timing.lease, Nodes: l.names, Ledger: l.world, Watch: l.s.watch,
		Held: func() time.Duration { return 0 },
		Beat: func(ctx context.Context, _ *standin.Machine, node string, rep wire.Heartbeat) (int, []byte, error) {
			return l.post(ctx, node, wire.PathHeartbeat, rep)
		}}
	server := httptest.NewServer(m)
	m.Host.Endpoint = strings.TrimPrefix(server.URL, "http://")
	l.wg.Go(func() {
		defer server.Close()
		time.Sleep(time.Second)
		m.Begin(l.ctx)
		m.Run()
	})
	return m
}

// post sends one message to a controller.
func (l *loopback) post(ctx context.Context, node, path string, message any) (int, []byte, error) {
	raw, err := wire.Marshal(message)
	if err != nil {
		return 0, nil, err
	}
	return l.send(ctx, node, path, raw)
}

func (l *loopback) send(ctx context.Context, node, path string, raw []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.clients[node]+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	answer, err := l.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, body, err
}

// sender submits a team's jobs one after another until ctx ends, with a pause between them and a
// longer one after a refusal. A job that was refused is submitted again.
func (l *loopback) sender(ctx context.Context, jobs <-chan string, pause, refused time.Duration, figures *teamFigures) {
	for uid := range jobs {
		spec, _ := l.Job(uid)
		raw := bodyOf(l.t, spec, nil)
		for ctx.Err() == nil {
			began := time.Now()
			status, _, err := l.send(ctx, l.names[rand.IntN(len(l.names))], wire.PathJobs, raw)
			took := time.Since(began)
			if err != nil {
				status = 0
			}
			taken := status == http.StatusCreated || status == http.StatusOK
			figures.note(status, taken, took)
			if taken {
				l.mu.Lock()
				l.facts[uid].accepted, l.facts[uid].moved = true, time.Now()
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

func (f *teamFigures) note(status int, taken bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
	if taken {
		f.accepted++
		_ = f.latency.RecordValue(max(1, took.Microseconds()))
	}
}

// troubleLoop kills, pauses and refuses the leader or another controller in turn until ctx ends.
func (l *loopback) troubleLoop(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(4*time.Second + rand.N(4*time.Second)):
		}
		name := l.leads()
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
	watch := newGuaranteeWatch(l.world)
	time.Sleep(3 * time.Second)
	load, stopLoad := context.WithTimeout(ctx, *loopbackSpan)
	defer stopLoad()
	var wg sync.WaitGroup
	all := map[string]*teamFigures{}
	for team := range l.s.limits {
		figures := &teamFigures{statuses: map[int]int{}, latency: hdr.New(1, 60_000_000, 3)}
		all[team] = figures
		jobs := make(chan string, loopbackJobs)
		for _, u := range l.s.users {
			if u.spec.Team == team {
				jobs <- u.spec.UID
			}
		}
		close(jobs)
		senders, pause, refused := 4, time.Second, time.Second
		if team == "flood" {
			senders, pause, refused = *loopbackFlood, 0, 50*time.Millisecond
		}
		for range senders {
			wg.Go(func() { l.sender(load, jobs, pause, refused, figures) })
		}
	}
	if *loopbackFaults {
		wg.Go(func() { l.troubleLoop(load) })
	}
	wg.Go(func() {
		for load.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			watch.look()
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
	for team := range l.s.floors {
		t.Logf("%s: at most %v under its guarantee without a start, %.2f of it on average", team, watch.longest[team], watch.served(team))
	}
	for _, b := range append(l.broken, watch.keptOut()...) {
		t.Error(b)
	}
}
