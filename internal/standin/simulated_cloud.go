package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// SimulatedCloud is a cloud whose machines boot and run on their own.
type SimulatedCloud struct {
	MachineTypes []wire.MachineType
	MaxMachines  int
	// ListLag returns the age of a list of machines that is requested now. If nil, lists are
	// current.
	ListLag func() time.Duration
	// RentalFault returns the fault of a rental that is requested now: it is refused, or its
	// response is delayed, and lost if the caller does not wait that long. If nil, there is
	// none.
	RentalFault func() (refused bool, delay time.Duration)
	// ExecutionDelay returns how long after the request a rental or return is executed; the
	// caller may have given up by then. If nil, requests are executed at once.
	ExecutionDelay func(path string) time.Duration
	// OnRental is called for every request for machines, with the caller's name. It may be nil.
	OnRental func(caller string, request wire.RentRequest)
	// OnChange is called with a description of each rental request, return and reclaim.
	OnChange func(what string)
	// BootMachine starts a rented machine, which boots on its own.
	BootMachine func(info wire.Machine, machineType wire.MachineType) *Machine

	mu        sync.Mutex          // guards the fields below
	rentals   map[string][]string // names of the machines, by request ID
	machines  []wire.Machine
	history   []listing // oldest first
	byName    map[string]*Machine
	nameCount int
}

// listing is the cloud's list of machines from a point in time on.
type listing struct {
	from     time.Time
	machines []wire.Machine
}

// recordListing adds the current list to the history. The caller holds mu.
func (c *SimulatedCloud) recordListing() {
	c.history = append(c.history, listing{time.Now(), slices.Clone(c.machines)})
}

// CapacitySince returns since when the cloud could have rented a further machine, or the current time
// if it can't.
func (c *SimulatedCloud) CapacitySince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := time.Now()
	for _, listing := range slices.Backward(c.history) {
		if len(listing.machines) >= c.MaxMachines {
			return since
		}
		since = listing.from
	}
	return time.Time{}
}

// Reclaim removes a spot machine and everything on it.
func (c *SimulatedCloud) Reclaim(m *Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(c.machines, func(host wire.Machine) bool { return host.UID == m.Info.UID })
	c.recordListing()
	m.Remove()
	c.OnChange("took " + m.Info.UID)
}

// listedMachines returns the list of the time ListLag ago, and that time. The caller holds
// mu.
func (c *SimulatedCloud) listedMachines() (at time.Time, hosts []wire.Machine) {
	at = time.Now()
	if c.ListLag == nil {
		return at, c.machines
	}
	at = at.Add(-c.ListLag())
	for _, l := range c.history {
		if !l.from.After(at) {
			hosts = l.machines
		}
	}
	return at, hosts
}

// Machines returns the rented machines in the order of their names.
func (c *SimulatedCloud) Machines() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Machine
	for _, host := range c.machines {
		out = append(out, c.byName[host.UID])
	}
	return out
}

// ServeHTTP serves the cloud's interface.
func (c *SimulatedCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodPost && c.ExecutionDelay != nil {
		if delay := c.ExecutionDelay(r.URL.Path); delay > 0 {
			c.serveDelayed(w, r, body, delay)
			return
		}
	}
	rental := r.Method == http.MethodPost && r.URL.Path != wire.PathReturn
	if rental && c.RentalFault != nil {
		refused, delay := c.RentalFault()
		if refused {
			writeResponse(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		if delay > 0 {
			status, body := c.handle(r, body)
			select {
			case <-time.After(delay):
				writeResponse(w, status, body)
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
	status, result := c.handle(r, body)
	writeResponse(w, status, result)
}

// serveDelayed executes a request after a delay, whether or not the caller still waits.
func (c *SimulatedCloud) serveDelayed(w http.ResponseWriter, r *http.Request, body []byte, delay time.Duration) {
	done := make(chan response, 1)
	time.AfterFunc(delay, func() {
		status, result := c.handle(r, body)
		done <- response{status, result}
	})
	select {
	case response := <-done:
		writeResponse(w, response.status, response.body)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// handle executes a request and returns the response.
func (c *SimulatedCloud) handle(r *http.Request, body []byte) (status int, result any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathCatalog:
		return http.StatusOK, wire.Catalog{MachineTypes: c.MachineTypes}
	case r.URL.Path == wire.PathReturn:
		var request wire.MachineNames
		_ = msgpack.Unmarshal(body, &request)
		c.remove(request.Names)
		return http.StatusOK, struct{}{}
	case r.Method == http.MethodGet:
		return http.StatusOK, c.page(r.URL.Query())
	}
	var request wire.RentRequest
	_ = msgpack.Unmarshal(body, &request)
	if c.OnRental != nil {
		c.OnRental(Caller(r), request)
	}
	return c.rent(request)
}

// remove removes returned machines. The caller holds mu.
func (c *SimulatedCloud) remove(names []string) {
	c.machines = slices.DeleteFunc(c.machines, func(machine wire.Machine) bool {
		if !slices.Contains(names, machine.UID) {
			return false
		}
		c.byName[machine.UID].Remove()
		c.OnChange("returned " + machine.UID)
		return true
	})
	c.recordListing()
}

// rent rents as many of the requested machines as there is capacity for, or returns the names
// of those already rented for the same request. The caller holds mu.
func (c *SimulatedCloud) rent(request wire.RentRequest) (status int, result any) {
	names, known := c.rentals[request.RequestID]
	if known {
		return http.StatusOK, wire.MachineNames{Names: names}
	}
	index := slices.IndexFunc(c.MachineTypes, func(machineType wire.MachineType) bool { return machineType.SKU == request.MachineType })
	capacity := min(request.Count, c.MaxMachines-len(c.machines))
	c.OnChange(fmt.Sprintf("rental request %+v, capacity for %d", request, capacity))
	if index < 0 || capacity <= 0 {
		return http.StatusServiceUnavailable, wire.Error{Error: "no capacity"}
	}
	if c.rentals == nil {
		c.rentals, c.byName = map[string][]string{}, map[string]*Machine{}
	}
	for range capacity {
		c.nameCount++
		name := fmt.Sprintf("n-%06d", c.nameCount)
		machine := wire.Machine{UID: name, Endpoint: name + ":9000", Type: request.MachineType, Zone: request.Zone, Preemptible: request.Preemptible, Status: wire.MachineBooting}
		c.machines = append(c.machines, machine)
		c.byName[name] = c.BootMachine(machine, c.MachineTypes[index])
		names = append(names, name)
	}
	c.rentals[request.RequestID] = names
	c.recordListing()
	return http.StatusOK, wire.MachineNames{Names: names}
}

// page returns one page of the list of machines. The caller holds mu.
func (c *SimulatedCloud) page(query url.Values) (page wire.MachinePage) {
	limit, _ := strconv.Atoi(query.Get("limit"))
	at, hosts := c.listedMachines()
	for _, host := range hosts {
		if host.UID <= query.Get("since") {
			continue
		}
		if len(page.Machines) == limit {
			page.HasNext = true
			break
		}
		if m := c.byName[host.UID]; m.bootedBy(at) {
			host.Status = wire.MachineRunning
		}
		page.Machines = append(page.Machines, host)
	}
	return page
}
