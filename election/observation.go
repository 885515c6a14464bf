package election

import "cedardoor/clock"

// observation is the state of the leader key as a node last saw it.
type observation struct {
	leader         string // empty when the leader is unknown
	observedAt     clock.Micros
	newestRevision uint64 // the highest revision of the key ever seen
}

// record stores which node holds the key and the key's revision, as read at the given time.
func (o *observation) record(leader string, revision uint64, now clock.Micros) {
	o.leader, o.observedAt = leader, now
	o.recordRevision(revision)
}

// recordRevision stores a revision of the key unless a higher one was seen before.
func (o *observation) recordRevision(revision uint64) {
	o.newestRevision = max(o.newestRevision, revision)
}

// clearLeader records that the leader is unknown.
func (o *observation) clearLeader() { o.leader = "" }

// leaderAt returns the leader if it was seen within leaderFreshFor, and an empty string otherwise.
func (o *observation) leaderAt(now clock.Micros) string {
	if now-o.observedAt > leaderFreshFor {
		return ""
	}
	return o.leader
}
