package connlimit

// Budget divides the sockets that a process may open. Its connections to the state service, the cloud
// and the other controllers come first, then those of requests to workers; the rest is for users and
// workers.
type Budget struct {
	Commands              int // direct commands to workers in flight
	Probes                int // probes of workers in flight
	IdleWorkerConnections int // idle connections to workers; they share ClientConnections
	ClientConnections     int // connections of users and workers
}

const (
	// maxInternalSockets is what a process needs for everything else: two listeners, connections
	// to the state service, the cloud and the other controllers, files and the runtime.
	maxInternalSockets = 96
	minCommands        = 8
	maxCommands        = 96
	minProbes          = 8
	maxProbes          = 64
	minIdleConnections = 8
	minClients         = 8
	// idleConnectionsPerMB is how many idle connections to workers are kept for each megabyte of the
	// process's memory: one takes some 35 KB, so that all together take a tenth of it.
	idleConnectionsPerMB = 3
)

// NewBudget makes the budget of a process that may open a number of sockets and use an amount of
// memory.
func NewBudget(sockets int, memoryMB float64) Budget {
	b := Budget{
		Commands:              min(maxCommands, max(minCommands, sockets/32)),
		Probes:                min(maxProbes, max(minProbes, sockets/48)),
		IdleWorkerConnections: max(minIdleConnections, min(sockets/4, int(memoryMB*idleConnectionsPerMB))),
	}
	b.ClientConnections = max(minClients, sockets-internalSockets(sockets)-b.Commands-b.Probes)
	return b
}

// internalSockets is what a process needs besides, of the sockets that it may open.
func internalSockets(sockets int) int { return min(maxInternalSockets, sockets/4) }
