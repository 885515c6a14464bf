package election

import "cedardoor/clock"

// observation is what a node has last seen of the leader key.
type observation struct {
	leader         string // empty when nobody is known to lead
	at             clock.Micros
	newestRevision uint64 // the highest revision of the key that was ever seen
}

// record takes in who holds the key, as read at the given time.
func (o *observation) record(leader string, revision uint64, now clock.Micros) {
	o.leader, o.at = leader, now
	o.recordRevision(revision)
}

// recordRevision takes in a revision of the key, which may be an old one.
func (o *observation) recordRevision(revision uint64) {
	o.newestRevision = max(o.newestRevision, revision)
}

// clearLeader notes that nobody is known to lead.
func (o *observation) clearLeader() { o.leader = "" }

// leaderAt gives the leader, if it was seen recently enough.
func (o *observation) leaderAt(now clock.Micros) string {
	if now-o.at > leaderFreshFor {
		return ""
	}
	return o.leader
}
