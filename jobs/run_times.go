package jobs

import "cedardoor/clock"

// RunTimes is what is known of how long tasks run. The zero value knows nothing.
type RunTimes struct {
	Count int
	Total clock.Micros
}

// Add takes in how long a task ran.
func (r *RunTimes) Add(took clock.Micros) {
	r.Count++
	r.Total += took
}

// Mean is how long tasks ran on average; zero when none did.
func (r RunTimes) Mean() clock.Micros {
	if r.Count == 0 {
		return 0
	}
	return r.Total / clock.Micros(r.Count)
}

// Halve makes older run times count half as much.
func (r *RunTimes) Halve(count int) {
	mean := r.Mean()
	r.Count = count
	r.Total = clock.Micros(count) * mean
}
