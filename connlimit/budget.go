package connlimit

// Budget divides what a process may open: what it needs for the store, the
// cloud and the other controllers comes first, then direct commands and
// questions to workers; the rest is for users and workers.
type Budget struct {
	Commands  int // direct commands in flight
	Probes int // questions to workers in flight
	IdleWorkerConnections  int // idle connections to workers, at most: they make way for the listener's
	ClientConnections   int // connections of users and workers
}

// ownConns is what a process needs besides: two listeners, the store's and the
// cloud's connections, the other controllers' both ways, files and the runtime's own.
const ownConns = 96

// idlePerMB is how many idle connections to workers are kept for each megabyte that
// the process may hold: one takes some 35 KB, so all of them a tenth of it.
const idlePerMB = 3

// NewBudget makes the budget of a process that may open so many sockets and hold so much memory.
func NewBudget(limit int, memMB float64) Budget {
	b := Budget{Commands: min(96, max(8, limit/32)), Probes: min(64, max(8, limit/48)), IdleWorkerConnections: max(8, min(limit/4, int(memMB*idlePerMB)))}
	b.ClientConnections = max(8, limit-min(ownConns, limit/4)-b.Commands-b.Probes)
	return b
}
