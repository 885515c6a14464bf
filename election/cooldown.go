package election

import "cedardoor/clock"

const (
	// resignCooldown is how long a node that resigned leaves leadership to other nodes.
	resignCooldown = 20 * clock.Second
	// maxVacancy is how long the leader key may stay free during a cooldown. Other nodes
	// take a free key at once if they can, so after this time none is able to, and a
	// leader that few workers reach is better than none.
	maxVacancy = 3 * clock.Second
)

// cooldown prevents a node that resigned from being elected again at once.
type cooldown struct {
	until       clock.Micros
	vacantSince clock.Micros // when the key was first seen free during the cooldown; zero while it is held
}

// start begins a cooldown at the given time.
func (c *cooldown) start(now clock.Micros) { c.until, c.vacantSince = now+resignCooldown, 0 }

// leaderSeen records that the key is held.
func (c *cooldown) leaderSeen() { c.vacantSince = 0 }

// defers reports whether the node leaves the key, which is free now, to other nodes.
func (c *cooldown) defers(now clock.Micros) bool {
	if now >= c.until {
		return false
	}
	if c.vacantSince == 0 {
		c.vacantSince = now
	}
	return now-c.vacantSince < maxVacancy
}
