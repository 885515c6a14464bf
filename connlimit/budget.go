package connlimit

// Budget divides the sockets that a process may open. Some are set aside for connections to the state
// service, the cloud and the other controllers, others for requests to workers; the remaining ones are
// for connections from users and workers.
type Budget struct {
	Commands              int // direct commands to workers in flight
	Probes                int // probes of workers in flight
	IdleWorkerConnections int // idle connections to workers; they share ClientConnections
	ClientConnections     int // connections from users and workers
}

const (
	// maxInternalSockets is the maximum number of sockets set aside for internal use: two listeners,
	// connections to the state service, the cloud and the other controllers, files and the runtime.
	maxInternalSockets   = 96
	minCommands          = 8
	maxCommands          = 96
	minProbes            = 8
	maxProbes            = 64
	minIdleConnections   = 8
	minClientConnections = 8
	// idleConnectionsPerMB is the number of idle connections to workers kept per megabyte of the
	// process's memory. Each takes about 35 KB, so together they take a tenth of the memory.
	idleConnectionsPerMB = 3
)

// NewBudget returns the budget of a process that may open the given number of sockets and use the
// given amount of memory.
func NewBudget(sockets int, memoryMB float64) Budget {
	b := Budget{
		Commands:              min(maxCommands, max(minCommands, sockets/32)),
		Probes:                min(maxProbes, max(minProbes, sockets/48)),
		IdleWorkerConnections: max(minIdleConnections, min(sockets/4, int(memoryMB*idleConnectionsPerMB))),
	}
	b.ClientConnections = max(minClientConnections, sockets-internalSockets(sockets)-b.Commands-b.Probes)
	return b
}

// internalSockets returns how many of a process's sockets are set aside for internal use.
func internalSockets(sockets int) int { return min(maxInternalSockets, sockets/4) }
