package rig

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// failedAfter is how long a machine that has stopped is listed as running.
const failedAfter = 30 * time.Second

// Cloud rents machines.
type Cloud struct {
	log   *Record
	types []wire.MachineType
	lag   time.Duration
	boot  time.Duration
	max   int // machines at a time
	start func(info wire.Machine, machineType wire.MachineType) *Worker
	up    func(worker *Worker) // boots a machine and runs it

	mu       sync.Mutex // guards the fields below
	rentals  map[string][]string
	machines []*rented
	history  []listing
	names    int
	refusals int
}

// rented is a machine that is rented.
type rented struct {
	info   wire.Machine
	since  time.Time
	upAt   time.Time
	worker *Worker
}

// listing is the list of machines from a moment on.
type listing struct {
	from     time.Time
	machines []*rented
}

// changeListing records a change of the machines. The caller holds mu.
func (c *Cloud) changeListing() {
	c.history = append(c.history, listing{time.Now(), slices.Clone(c.machines)})
}

// Workers returns the workers of all machines.
func (c *Cloud) Workers() (workers []*Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		workers = append(workers, m.worker)
	}
	return workers
}

// Refusals returns how many rental requests were refused.
func (c *Cloud) Refusals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}

// ServeHTTP serves the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathCatalog:
		writeAnswer(w, http.StatusOK, wire.Catalog{MachineTypes: c.types})
	case r.URL.Path == wire.PathReturn:
		var request wire.MachineNames
		_ = msgpack.Unmarshal(body, &request)
		c.giveBack(request.Names)
		writeAnswer(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodGet:
		writeAnswer(w, http.StatusOK, c.list(r))
	default:
		var request wire.RentRequest
		_ = msgpack.Unmarshal(body, &request)
		status, answer := c.rent(request)
		writeAnswer(w, status, answer)
	}
}

// StartUp rents machines that are up at once.
func (c *Cloud) StartUp(requests []wire.RentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := c.boot
	c.boot = 0
	for i, request := range requests {
		request.RequestID = fmt.Sprintf("start-%d", i)
		c.rent(request)
	}
	c.boot = boot
}

// rent rents machines. The caller holds mu.
func (c *Cloud) rent(request wire.RentRequest) (status int, answer any) {
	if names, known := c.rentals[request.RequestID]; known {
		return http.StatusOK, wire.MachineNames{Names: names}
	}
	index := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.SKU == request.MachineType })
	count := min(request.Count, c.max-len(c.machines))
	if index < 0 || count <= 0 || !slices.Contains(c.types[index].Zones, request.Zone) {
		c.refusals++
		c.log.Add("cloud", "refuses %d %s in %s", request.Count, request.MachineType, request.Zone)
		return http.StatusServiceUnavailable, wire.Error{Error: "no capacity"}
	}
	var names []string
	for range count {
		c.names++
		info := wire.Machine{UID: fmt.Sprintf("n-%06d", c.names), Type: request.MachineType, Zone: request.Zone, Preemptible: request.Preemptible}
		m := &rented{since: time.Now(), upAt: time.Now().Add(c.boot), worker: c.start(info, c.types[index])}
		m.info = m.worker.Info
		time.AfterFunc(c.boot, func() { c.up(m.worker) })
		c.machines = append(c.machines, m)
		names = append(names, info.UID)
	}
	c.log.Add("cloud", "rents %d %s in %s, spot %t: %v", count, request.MachineType, request.Zone, request.Preemptible, names)
	c.rentals[request.RequestID] = names
	c.changeListing()
	return http.StatusOK, wire.MachineNames{Names: names}
}

// giveBack removes returned machines. The caller holds mu.
func (c *Cloud) giveBack(names []string) {
	c.machines = slices.DeleteFunc(slices.Clone(c.machines), func(m *rented) bool {
		if !slices.Contains(names, m.info.UID) {
			return false
		}
		m.worker.Stop()
		return true
	})
	c.log.Add("cloud", "returned: %v", names)
	c.changeListing()
}

// list returns a page of the list of machines as it was some time ago. The caller holds mu.
func (c *Cloud) list(r *http.Request) (page wire.MachinePage) {
	at := time.Now().Add(-c.lag)
	var machines []*rented
	for _, l := range c.history {
		if !l.from.After(at) {
			machines = l.machines
		}
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	page.Machines = []wire.Machine{}
	for _, m := range machines {
		if m.info.UID <= r.URL.Query().Get("since") {
			continue
		}
		if len(page.Machines) == limit {
			page.HasNext = true
			break
		}
		info := m.info
		info.HeldS, info.Status = at.Sub(m.since).Seconds(), wire.MachineBooting
		if !m.upAt.After(at) {
			info.Status = wire.MachineRunning
		}
		if m.worker.goneBy(at.Add(-failedAfter)) {
			info.Status = wire.MachineFailed
		}
		page.Machines = append(page.Machines, info)
	}
	return page
}
