package rig

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

	"cedardoor/store"
	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Site holds the settings of a deployment.
type Site struct {
	Zones       []string // the controllers' zones come first
	Controllers int
	Facts       map[string]any // facts of the settings file
	State       StateLimits
	Latency     time.Duration // of the state service
	ReportS     float64
	LeaseS      float64
	Types       []wire.MachineType
	MaxMachines int
	Up          []wire.RentRequest // machines that are up at the start
	Boot        time.Duration
	ListLag     time.Duration
}

// Cluster is a set of controller processes with the stand-ins around them.
type Cluster struct {
	Log   *Record
	State *State
	Cloud *Cloud
	Users *Users

	site   Site
	binary string
	dir    string
	ctx    context.Context
	names  []string
	client map[string]string // address for users and workers, by controller
	back   map[string]string
	store  map[string]string // address of the state service, by controller
	cloud  string
	http   *http.Client
	gangs  *gangs

	mu        sync.Mutex // guards the fields below
	processes map[string]*exec.Cmd
	listeners []net.Listener
	specs     map[string]wire.Spec     // submitted jobs
	runTimes  map[string]time.Duration // by job
	done      map[string]bool          // tasks that have completed
	on        map[string]string        // machine on which a task runs
	starts    map[string]int           // by task
	doubles   []string                 // tasks that started on one machine while on another
	overLimit []string                 // moments at which a team used more than its limit
}

// NewCluster starts the stand-ins and the controllers. Stop ends them.
func NewCluster(ctx context.Context, log *Record, binary string, site Site) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	c := &Cluster{Log: log, site: site, binary: binary, dir: dir, ctx: ctx, client: map[string]string{}, back: map[string]string{}, store: map[string]string{},
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
		processes: map[string]*exec.Cmd{}, specs: map[string]wire.Spec{}, runTimes: map[string]time.Duration{}, done: map[string]bool{},
		on: map[string]string{}, starts: map[string]int{}}
	workers := site.Facts["workers"].(map[string]any)
	c.gangs = newGangs(seconds(workers["gang_wait_s"]), seconds(workers["gang_peer_s"]))
	c.State = NewState(log, site.State, site.Latency)
	c.Cloud = &Cloud{log: log, types: site.Types, lag: site.ListLag, boot: site.Boot, max: site.MaxMachines, start: c.newWorker, up: func(worker *Worker) { worker.run(ctx) }, rentals: map[string][]string{}}
	c.Users = &Users{cluster: c, jobs: map[string]*UserJob{}}
	for i := range site.Controllers {
		c.names = append(c.names, fmt.Sprintf("berth-%d", i))
	}
	if err := c.listen(); err != nil {
		c.Stop()
		return nil, err
	}
	c.Cloud.StartUp(site.Up)
	for _, name := range c.names {
		if err := c.Start(name); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// seconds converts a number of seconds of the settings.
func seconds(value any) time.Duration { return time.Duration(value.(float64) * float64(time.Second)) }

// listen starts the servers of the stand-ins and reserves the controllers' addresses.
func (c *Cluster) listen() (err error) {
	if c.cloud, err = c.serve(c.Cloud); err != nil {
		return err
	}
	for _, name := range c.names {
		if c.store[name], err = c.serve(c.State.Handler(name)); err != nil {
			return err
		}
		for _, addresses := range []map[string]string{c.client, c.back} {
			if addresses[name], err = freeAddress(); err != nil {
				return err
			}
		}
	}
	return nil
}

// freeAddress returns a loopback address that is not in use.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// serve serves a handler on a free port and returns its address.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	c.mu.Lock()
	c.listeners = append(c.listeners, listener)
	c.mu.Unlock()
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// Names returns the names of the controllers.
func (c *Cluster) Names() []string { return c.names }

// settings returns the platform's settings of a controller.
func (c *Cluster) settings(name string) map[string]any {
	others := []map[string]string{}
	for i, other := range c.names {
		if other != name {
			others = append(others, map[string]string{"node": other, "area": c.site.Zones[i%len(c.site.Zones)], "addr": c.back[other]})
		}
	}
	return map[string]any{"node": name, "area": c.site.Zones[slices.Index(c.names, name)%len(c.site.Zones)], "client_listen": c.client[name],
		"back": c.back[name], "others": others, "outside": map[string]string{"cloud": c.cloud, "state": c.store[name]}, "facts": c.site.Facts}
}

// Start starts the process of a controller.
func (c *Cluster) Start(name string) error {
	encoded, err := json.MarshalIndent(c.settings(name), "", "  ")
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	logs, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log file: %w", err)
	}
	defer logs.Close()
	command := exec.Command(c.binary, "--config", path)
	level := os.Getenv("CASE_LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	command.Env = append(os.Environ(), "LOG_LEVEL="+level)
	command.Stderr = logs
	// The controllers end with this process, however it ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	c.mu.Lock()
	c.processes[name] = command
	c.mu.Unlock()
	c.Log.Add(name, "process started")
	return nil
}

// Signal sends a signal to a controller's process. After SIGKILL it waits until the process has ended.
func (c *Cluster) Signal(name string, signal syscall.Signal) {
	c.mu.Lock()
	command := c.processes[name]
	c.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	c.Log.Add(name, "signal: %s", signal)
	if signal == syscall.SIGKILL {
		_ = command.Wait()
		c.mu.Lock()
		delete(c.processes, name)
		c.mu.Unlock()
	}
}

// maxLogLines is how many lines of each controller's log are kept in the record.
const maxLogLines = 200

// Stop ends all controllers and the stand-ins, and keeps the beginning of the controllers' logs in the record.
func (c *Cluster) Stop() {
	for _, name := range c.names {
		c.Signal(name, syscall.SIGKILL)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, listener := range c.listeners {
		listener.Close()
	}
	for _, name := range c.names {
		logs, _ := os.ReadFile(filepath.Join(c.dir, name+".log"))
		lines := strings.SplitAfter(string(logs), "\n")
		for _, line := range lines[:min(len(lines), maxLogLines)] {
			c.Log.Add("log "+name, "%s", strings.TrimRight(line, "\n"))
		}
	}
	_ = os.RemoveAll(c.dir)
}

// Leader returns the controller that holds leadership according to the state service, if any.
func (c *Cluster) Leader() string {
	var record store.LeaderRecord
	c.State.Value(store.KeyLeader, &record)
	return record.Node
}

// AwaitLeader waits until a controller leads.
func (c *Cluster) AwaitLeader(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if leader := c.Leader(); leader != "" {
			c.Log.Add("case", "%s leads", leader)
			return nil
		}
	}
	return errors.New("no controller leads")
}

// Send sends a request to a controller's address for users and workers.
func (c *Cluster) Send(ctx context.Context, node, method, path string, message any) (status int, body []byte, err error) {
	var payload io.Reader
	if message != nil {
		encoded, err := msgpack.Marshal(message)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.client[node]+path, payload)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// newWorker creates the worker of a machine, which does nothing before it has booted.
func (c *Cluster) newWorker(info wire.Machine, machineType wire.MachineType) *Worker {
	worker := &Worker{Info: info, Type: machineType, cluster: c}
	address, err := c.serve(worker)
	if err != nil {
		c.Log.Add(info.UID, "no port: %v", err)
	}
	worker.Info.Endpoint = address
	return worker
}
