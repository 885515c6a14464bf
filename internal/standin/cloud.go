package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Cloud rents machines that never boot; tests bring workers of their own.
type Cloud struct {
	mu       sync.Mutex // guards all below
	Builds   []wire.MachineType
	hires    map[string][]string
	hosts    []wire.Machine
	Trouble  bool // answers 503 to everything
	Full     bool // has no capacity
	LoseNext bool // executes the next rental without an answer
	asked    []wire.RentRequest
	returns  [][]string
}

// NewCloud makes a cloud with one machine type in the given zones.
func NewCloud(builds ...wire.MachineType) *Cloud {
	return &Cloud{Builds: builds, hires: map[string][]string{}}
}

// Hosts lists the machines now rented.
func (c *Cloud) Hosts() []wire.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.Machine(nil), c.hosts...)
}

// Asked lists every rental request.
func (c *Cloud) Asked() []wire.RentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.RentRequest(nil), c.asked...)
}

// Returns lists the names in each request to return machines.
func (c *Cloud) Returns() [][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][]string(nil), c.returns...)
}

// ServeHTTP is the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Trouble {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	switch {
	case r.URL.Path == wire.PathCatalog:
		reply(w, http.StatusOK, wire.Catalog{MachineTypes: c.Builds})
	case r.URL.Path == wire.PathReturn:
		var q wire.MachineNames
		_ = msgpack.Unmarshal(body, &q)
		c.returns = append(c.returns, q.Names)
		gone := map[string]bool{}
		for _, h := range q.Names {
			gone[h] = true
		}
		var left []wire.Machine
		for _, h := range c.hosts {
			if !gone[h.UID] {
				left = append(left, h)
			}
		}
		c.hosts = left
		reply(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, wire.MachinePage{Machines: append([]wire.Machine{}, c.hosts...)})
	default:
		var q wire.RentRequest
		_ = msgpack.Unmarshal(body, &q)
		c.asked = append(c.asked, q)
		names, known := c.hires[q.RequestID]
		if !known {
			if c.Full {
				reply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
				return
			}
			for range q.Count {
				name := fmt.Sprintf("n-%06d", len(c.hosts)+100)
				c.hosts = append(c.hosts, wire.Machine{UID: name, Endpoint: "127.0.0.1:1", Type: q.MachineType, Zone: q.Zone, Preemptible: q.Preemptible, Status: wire.MachineBooting})
				names = append(names, name)
			}
			c.hires[q.RequestID] = names
		}
		if c.LoseNext {
			c.LoseNext = false
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusOK, wire.MachineNames{Names: names})
	}
}
