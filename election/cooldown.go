package election

import "cedardoor/clock"

const (
	// resignCooldown is how long a node that resigned leaves leadership to others.
	resignCooldown = 20 * clock.Second
	// maxVacancy is how long the leader key may stay free meanwhile. Whoever can take
	// it does so at once, so by then there is nobody else, and a leader that few
	// workers reach is better than none.
	maxVacancy = 3 * clock.Second
)

// cooldown keeps a node that resigned from being elected again at once.
type cooldown struct {
	until       clock.Micros
	vacantSince clock.Micros // since when the key was seen free during the cooldown; zero while it is held
}

// start begins a cooldown.
func (c *cooldown) start(now clock.Micros) { c.until, c.vacantSince = now+resignCooldown, 0 }

// leaderSeen notes that somebody holds the key.
func (c *cooldown) leaderSeen() { c.vacantSince = 0 }

// defers tells whether the node leaves the key, which is free now, to others.
func (c *cooldown) defers(now clock.Micros) bool {
	if now >= c.until {
		return false
	}
	if c.vacantSince == 0 {
		c.vacantSince = now
	}
	return now-c.vacantSince < maxVacancy
}
