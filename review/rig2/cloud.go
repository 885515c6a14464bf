package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/wire"
)

// cloud rents machines, whose workers run in this process.
type cloud struct {
	*cluster
	types []wire.MachineType
	// proxied is set if the machines' addresses are proxies.
	proxied bool

	mu       sync.Mutex
	capacity map[string]int
	rentals  map[string][]string
	machines []*host
	count    int
}

// host is a rented machine.
type host struct {
	info    wire.Machine
	rented  time.Time
	bootAt  time.Time
	machine *standin.Machine
	client  *http.Client
}

func newCloud(c *cluster, types []wire.MachineType, capacity map[string]int) *cloud {
	return &cloud{cluster: c, types: types, capacity: capacity, rentals: map[string][]string{}}
}

// inZone returns the first machine in a zone.
func (c *cloud) inZone(zone string) (machine wire.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.machines {
		if h.info.Zone == zone {
			return h.info
		}
	}
	return machine
}

// booted returns the names of the machines of a type whose workers run.
func (c *cloud) booted(sku string) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.machines {
		if h.info.Type == sku && time.Now().After(h.bootAt) {
			names = append(names, h.info.UID)
		}
	}
	return names
}

func respond(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathCatalog:
		respond(w, http.StatusOK, wire.Catalog{MachineTypes: c.types})
	case r.URL.Path == wire.PathReturn:
		var request wire.MachineNames
		_ = wire.Unmarshal(body, &request)
		c.add("cloud  return %v", request.Names)
		for _, name := range request.Names {
			c.remove(name)
		}
		respond(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodGet:
		page := wire.MachinePage{Machines: []wire.Machine{}}
		for _, h := range c.machines {
			if h.info.UID <= r.URL.Query().Get("since") {
				continue
			}
			info := h.info
			info.HeldS = time.Since(h.rented).Seconds()
			if time.Now().After(h.bootAt) {
				info.Status = wire.MachineRunning
			}
			page.Machines = append(page.Machines, info)
		}
		respond(w, http.StatusOK, page)
	default:
		var request wire.RentRequest
		_ = wire.Unmarshal(body, &request)
		c.rent(w, request)
	}
}

// rent serves a rental request. The caller holds mu.
func (c *cloud) rent(w http.ResponseWriter, request wire.RentRequest) {
	if names, known := c.rentals[request.RequestID]; known {
		respond(w, http.StatusOK, wire.MachineNames{Names: names})
		return
	}
	kind := request.MachineType + "/" + request.Zone
	i := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.SKU == request.MachineType })
	count := min(request.Count, c.capacity[kind])
	if request.Preemptible || i < 0 || count <= 0 {
		c.add("cloud  rental %s of %d %s (spot: %t): no capacity", request.RequestID, request.Count, kind, request.Preemptible)
		respond(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	c.capacity[kind] -= count
	var names []string
	for range count {
		h, err := c.boot(request, c.types[i])
		if err != nil {
			c.add("cloud  no machine: %v", err)
			continue
		}
		names = append(names, h.info.UID)
	}
	c.rentals[request.RequestID] = names
	c.add("cloud  rental %s of %d %s: %v", request.RequestID, request.Count, kind, names)
	respond(w, http.StatusOK, wire.MachineNames{Names: names})
}

// boot starts a machine. The caller holds mu.
func (c *cloud) boot(request wire.RentRequest, machineType wire.MachineType) (*host, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	c.count++
	name, endpoint := fmt.Sprintf("n-%06d", c.count), l.Addr().String()
	if c.proxied {
		if endpoint, err = c.proxy("host/"+name, endpoint); err != nil {
			return nil, err
		}
	}
	h := &host{rented: time.Now(), bootAt: time.Now().Add(time.Duration(machineType.BootS * float64(time.Second))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		info: wire.Machine{UID: name, Endpoint: endpoint, Type: request.MachineType, Zone: request.Zone,
			Preemptible: request.Preemptible, Status: wire.MachineBooting}}
	h.machine = &standin.Machine{MachineConfig: standin.MachineConfig{Info: h.info, Type: machineType, ReportInterval: c.timing.report, LeaseTime: c.timing.lease,
		Controllers: c.names, Observer: c.tracker, OnEvent: c.tracker.event, CommandDelay: func() time.Duration { return 0 },
		SendHeartbeat: func(ctx context.Context, _ *standin.Machine, node string, report wire.Heartbeat) (int, []byte, error) {
			return c.heartbeat(ctx, h, node, report)
		}}}
	c.tracker.booted(h)
	server := &http.Server{Handler: h.machine, ReadHeaderTimeout: time.Minute}
	c.closers = append(c.closers, func() { server.Close() })
	c.machines = append(c.machines, h)
	go func() {
		time.Sleep(time.Until(h.bootAt))
		h.machine.Boot(c.ctx)
		c.add("up     %s (%s in %s)", name, request.MachineType, request.Zone)
		go func() { _ = server.Serve(l) }()
		h.machine.Run()
		server.Close()
	}()
	return h, nil
}

// heartbeat sends a report of a machine to a controller.
func (c *cloud) heartbeat(ctx context.Context, h *host, node string, report wire.Heartbeat) (int, []byte, error) {
	raw, err := wire.Marshal(report)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.workers[node]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return 0, nil, nil // a refused connection is known at once: the worker tries the next node 1 s later
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		var answer wire.HeartbeatResponse
		if wire.Unmarshal(body, &answer) == nil && len(answer.Commands) > 0 {
			c.add("beat   %s at %s, token %d: %s", h.info.UID, node, answer.Token, commandList(answer.Commands))
		}
	}
	return response.StatusCode, body, err
}

func commandList(commands []wire.Command) string {
	var parts []string
	for _, command := range commands {
		parts = append(parts, fmt.Sprintf("%s %s#%d", command.Verb, command.Task, command.Attempt))
	}
	return strings.Join(parts, ", ")
}

// remove removes a machine. The caller holds mu.
func (c *cloud) remove(name string) {
	c.machines = slices.DeleteFunc(c.machines, func(h *host) bool {
		if h.info.UID != name {
			return false
		}
		h.machine.Remove()
		c.capacity[h.info.Type+"/"+h.info.Zone]++
		return true
	})
}
