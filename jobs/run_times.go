package jobs

import "cedardoor/clock"

// RunTimes averages the run times of tasks. The zero value is empty and ready to use.
type RunTimes struct {
	Count int
	Total clock.Micros
}

// Add adds the run time of a task.
func (r *RunTimes) Add(took clock.Micros) {
	r.Count++
	r.Total += took
}

// Mean returns the mean run time; zero if there are none.
func (r RunTimes) Mean() clock.Micros {
	if r.Count == 0 {
		return 0
	}
	return r.Total / clock.Micros(r.Count)
}

// Rescale sets the count but keeps the mean, so that a lower count gives later run times more weight.
func (r *RunTimes) Rescale(count int) {
	mean := r.Mean()
	r.Count = count
	r.Total = clock.Micros(count) * mean
}
