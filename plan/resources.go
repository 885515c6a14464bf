package plan

// epsilon is the tolerance for rounding errors of decimal amounts.
const epsilon = 1e-6

// Resources is an amount of cores, accelerators and memory.
type Resources struct {
	Cores, Accelerators float64
	RAM                 float64 // GB
}

// plus returns the sum of two amounts.
func (r Resources) plus(other Resources) Resources {
	return Resources{Cores: r.Cores + other.Cores, Accelerators: r.Accelerators + other.Accelerators, RAM: r.RAM + other.RAM}
}

// add adds other to r.
func (r *Resources) add(other Resources) {
	r.Cores += other.Cores
	r.Accelerators += other.Accelerators
	r.RAM += other.RAM
}

// subtract subtracts other from r.
func (r *Resources) subtract(other Resources) {
	r.Cores -= other.Cores
	r.Accelerators -= other.Accelerators
	r.RAM -= other.RAM
}

// covers reports whether a task with the given needs fits.
func (r *Resources) covers(task *Resources) bool {
	return task.Cores <= r.Cores+epsilon && task.Accelerators <= r.Accelerators+epsilon && task.RAM <= r.RAM+epsilon
}

// taskCount returns how many tasks with the given needs fit, up to limit.
func (r *Resources) taskCount(task *Resources, limit int) int {
	count := limit
	if task.Cores > 0 {
		count = min(count, int(r.Cores/task.Cores+epsilon))
	}
	if task.RAM > 0 {
		count = min(count, int(r.RAM/task.RAM+epsilon))
	}
	if task.Accelerators > 0 {
		count = min(count, int(r.Accelerators/task.Accelerators+epsilon))
	}
	return count
}
