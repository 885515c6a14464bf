package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Cloud is a cloud whose machines never boot; tests run workers of their own. Its exported
// fields may be set while no request is in flight.
type Cloud struct {
	mu               sync.Mutex // guards the fields below
	MachineTypes     []wire.MachineType
	Unavailable      bool // responds 503 to every request
	LoseNextResponse bool // executes the next rental without a response
	machines         []wire.Machine
	rentals          map[string][]string // names of the machines, by request ID
	rentalRequests   []wire.RentRequest
	returns          [][]string
}

// NewCloud returns a cloud with the given machine types.
func NewCloud(machineTypes ...wire.MachineType) *Cloud {
	return &Cloud{MachineTypes: machineTypes, rentals: map[string][]string{}}
}

// Machines lists the rented machines.
func (c *Cloud) Machines() []wire.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.Machine(nil), c.machines...)
}

// RentalRequests returns all rental requests.
func (c *Cloud) RentalRequests() []wire.RentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.RentRequest(nil), c.rentalRequests...)
}

// Returns returns the machine names in each request to return machines.
func (c *Cloud) Returns() [][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][]string(nil), c.returns...)
}

// ServeHTTP serves the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Unavailable {
		writeResponse(w, http.StatusServiceUnavailable, wire.Error{Error: "cloud unavailable"})
		return
	}
	switch {
	case r.URL.Path == wire.PathCatalog:
		writeResponse(w, http.StatusOK, wire.Catalog{MachineTypes: c.MachineTypes})
	case r.URL.Path == wire.PathReturn:
		var request wire.MachineNames
		_ = msgpack.Unmarshal(body, &request)
		c.returns = append(c.returns, request.Names)
		c.machines = slices.DeleteFunc(c.machines, func(machine wire.Machine) bool { return slices.Contains(request.Names, machine.UID) })
		writeResponse(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodGet:
		writeResponse(w, http.StatusOK, wire.MachinePage{Machines: append([]wire.Machine{}, c.machines...)})
	default:
		var request wire.RentRequest
		_ = msgpack.Unmarshal(body, &request)
		c.rentalRequests = append(c.rentalRequests, request)
		names := c.rent(request)
		if c.LoseNextResponse {
			c.LoseNextResponse = false
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, http.StatusOK, wire.MachineNames{Names: names})
	}
}

// rent rents the requested machines, or returns the names of those already rented for the
// same request. The caller holds mu.
func (c *Cloud) rent(request wire.RentRequest) []string {
	names, known := c.rentals[request.RequestID]
	if known {
		return names
	}
	for range request.Count {
		name := fmt.Sprintf("n-%06d", len(c.machines)+100)
		c.machines = append(c.machines, wire.Machine{UID: name, Endpoint: "127.0.0.1:1", Type: request.MachineType, Zone: request.Zone,
			Preemptible: request.Preemptible, Status: wire.MachineBooting})
		names = append(names, name)
	}
	c.rentals[request.RequestID] = names
	return names
}
