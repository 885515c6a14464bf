// Package main holds the stand-ins and the cases of the second review. Each case starts the project's
// own program as separate processes on loopback addresses, plays users, workers, cloud and state
// service, and checks one rule of the protocol from what these see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
)

// restartDelay is about how long after an end a controller is back.
const restartDelay = 5 * time.Second

// timing is the workers' timing.
type timing struct{ report, lease, cancel time.Duration }

// smallTiming is that of the small deployments.
var smallTiming = timing{report: 3 * time.Second, lease: 18 * time.Second, cancel: 43 * time.Second}

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cluster is a deployment of three controllers with stand-ins for everything else.
type cluster struct {
	*record
	ctx      context.Context
	dir      string
	trouble  bool
	state    *standin.State
	names    []string
	clients  map[string]string // addresses for users and workers, by controller
	configs  map[string]string // files, by controller
	http     *http.Client
	tracker  *tracker
	cloud    *cloud
	timing   timing
	workers  map[string]string                // addresses for workers, by controller
	onCommit func(node string, txn *wire.Txn) // called for each transaction that was answered 200

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	proxies   map[string]*proxy // by the name of the link
	closers   []func()
}

// options are the parts of a deployment that the cases choose.
type options struct {
	teams    []config.Team
	types    []wire.MachineType
	capacity map[string]int // machines that the cloud can rent, by type and zone ("type/zone")
	state    config.State
	memMB    float64
	timing   timing // smallTiming if not set
	proxies  bool   // all links between hosts go through proxies
}

var zones = []string{"clifton", "korangi", "lahore-dr"}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddress returns a loopback address that is not in use.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// serve serves a handler on a free port.
func (c *cluster) serve(handler http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	c.closers = append(c.closers, func() { server.Close() })
	return l.Addr().String(), nil
}

// newCluster starts the stand-ins and writes the settings of three controllers.
func newCluster(ctx context.Context, rec *record, trouble bool, o options) (*cluster, error) {
	dir, err := os.MkdirTemp("", "cedardoor-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, ctx: ctx, dir: dir, trouble: trouble, state: standin.NewState(clockwork.NewRealClock()),
		names: []string{"berth-0", "berth-1", "berth-2"}, clients: map[string]string{}, configs: map[string]string{},
		processes: map[string]*exec.Cmd{}, proxies: map[string]*proxy{}, timing: o.timing, workers: map[string]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if c.timing == (timing{}) {
		c.timing = smallTiming
	}
	c.tracker = newTracker(rec)
	c.tracker.cancelLimit = c.timing.cancel
	c.cloud = newCloud(c, o.types, o.capacity)
	c.cloud.proxied = o.proxies
	cloudAddress, err := c.serve(c.cloud)
	if err != nil {
		return c, err
	}
	back := map[string]string{}
	for _, name := range c.names {
		if back[name], err = freeAddress(); err != nil {
			return c, err
		}
		if c.clients[name], err = freeAddress(); err != nil {
			return c, err
		}
	}
	for i := range c.names {
		if err := c.writeSettings(i, o, back, cloudAddress); err != nil {
			return c, err
		}
	}
	return c, nil
}

// writeSettings writes the settings of a controller.
func (c *cluster) writeSettings(i int, o options, back map[string]string, cloudAddress string) (err error) {
	link := func(name, target string) (string, error) {
		if !o.proxies {
			return target, nil
		}
		return c.proxy(name, target)
	}
	name := c.names[i]
	cfg := config.Platform{Node: name, Area: zones[i], ClientListen: c.clients[name], PeerListen: back[name]}
	for k, other := range c.names {
		if k == i {
			continue
		}
		address, err := link("back/"+name+"/"+other, back[other])
		if err != nil {
			return err
		}
		cfg.Others = append(cfg.Others, config.Node{Node: other, Area: zones[k], Addr: address})
	}
	stateAddress, err := c.serve(c.stateHandler(name))
	if err != nil {
		return err
	}
	if cfg.Outside.State, err = link("state/"+name, stateAddress); err != nil {
		return err
	}
	if cfg.Outside.Cloud, err = link("cloud/"+name, cloudAddress); err != nil {
		return err
	}
	if c.workers[name], err = link("workers/"+name, c.clients[name]); err != nil {
		return err
	}
	cfg.Facts = config.Facts{InitialSize: 3, Zones: zones, Teams: o.teams,
		Workers: config.Workers{ReportS: c.timing.report.Seconds(), LeaseS: c.timing.lease.Seconds(), CancelS: c.timing.cancel.Seconds()},
		State:   o.state, Cloud: config.Cloud{RPS: 4, ListLagS: 8},
		Limits: config.Limits{CoreShare: 0.144, MemMB: o.memMB, FDLimit: 1200}, SkewMS: 100}
	raw, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return err
	}
	c.configs[name] = filepath.Join(c.dir, name+".json")
	return os.WriteFile(c.configs[name], raw, 0o600)
}

// proxy puts a proxy before an address, and returns the proxy's.
func (c *cluster) proxy(name, target string) (string, error) {
	p, err := newProxy(target)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proxies[name] = p
	return p.addr, nil
}

// links returns the proxies whose names have one of the prefixes.
func (c *cluster) links(prefixes ...string) (links []*proxy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.proxies {
		if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) }) {
			links = append(links, p)
		}
	}
	return links
}

// stateHandler serves the state service to one controller, and records its transactions.
func (c *cluster) stateHandler(node string) http.Handler {
	inner := c.state.Handler(node)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathCommit {
			inner.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := &statusWriter{ResponseWriter: w}
		inner.ServeHTTP(answer, r)
		var txn wire.Txn
		if wire.Unmarshal(body, &txn) != nil {
			return
		}
		var keys []string
		for _, operation := range txn.Operations {
			keys = append(keys, operation.Set+operation.Delete)
		}
		c.add("state  %s commits %s: %d", node, strings.Join(keys, " "), answer.status)
		if c.onCommit != nil && answer.status == http.StatusOK {
			c.onCommit(node, &txn)
		}
	})
}

// statusWriter remembers the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// start starts the process of a controller with the run command of the deploy file.
func (c *cluster) start(name string) error {
	run, err := deployRun()
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	arguments := append(strings.Fields(run), c.configs[name])
	command := exec.Command(arguments[0], arguments[1:]...)
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	logFile, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return err
	}
	logFile.Close()
	c.processes[name] = command
	c.add("start  %s", name)
	return nil
}

func logLevel() string {
	if level := os.Getenv("REVIEW_LOG_LEVEL"); level != "" {
		return level
	}
	return "error"
}

// deployRun returns the run command of the deploy file, with the program's path made absolute.
func deployRun() (string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("deploy/service.toml has no run command")
}

// startAll starts all controllers, and waits until they are healthy and one of them leads.
func (c *cluster) startAll() error {
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			return err
		}
	}
	return c.await(20*time.Second, "healthy controllers and a leader", func() bool {
		for _, name := range c.names {
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			status, _, err := c.request(ctx, http.MethodGet, name, wire.PathHealth, nil)
			cancel()
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return c.leader() != ""
	})
}

// await polls a condition until it holds.
func (c *cluster) await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("gave up waiting for %s", what)
}

// leader returns the controller that holds the leader key, or an empty string.
func (c *cluster) leader() string {
	var row store.LeaderRecord
	if c.state.Value(store.KeyLeader, &row) {
		return row.Node
	}
	return ""
}

// signal sends a signal to a controller's process; after SIGKILL it waits for its end.
func (c *cluster) signal(name string, sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	command := c.processes[name]
	if command == nil {
		return
	}
	c.add("signal %s: %v", name, sig)
	_ = command.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		_ = command.Wait()
		delete(c.processes, name)
	}
}

// crash kills a controller, which is started again after restartDelay.
func (c *cluster) crash(name string) {
	c.signal(name, syscall.SIGKILL)
	time.AfterFunc(restartDelay, func() {
		if c.ctx.Err() == nil {
			if err := c.start(name); err != nil {
				c.add("start  %s failed: %v", name, err)
			}
		}
	})
}

// close ends all processes and stand-ins that the case has started.
func (c *cluster) close() {
	for _, name := range c.names {
		c.signal(name, syscall.SIGKILL)
	}
	for _, f := range c.closers {
		f()
	}
	for _, p := range c.links("") {
		p.close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
