package fleet

const (
	// minUnresponsiveInZone is the fewest unresponsive machines that make a zone
	// unreachable: fewer may each be unresponsive for a reason of their own.
	minUnresponsiveInZone = 3
	// A zone is unreachable if more than unreachablePercent of its machines are
	// unresponsive. When the cloud reclaims machines of a zone, others remain.
	unreachablePercent = 80
)

// UnreachableZones returns the zones in which nearly all machines are
// unresponsive, given the numbers of unresponsive machines and of machines that
// should report. If that is so in all zones, the fault is this controller's own,
// and the result is nil.
func UnreachableZones(unresponsive, known map[string]int) map[string]bool {
	unreachable := map[string]bool{}
	for zone, count := range unresponsive {
		if count >= minUnresponsiveInZone && 100*count > unreachablePercent*known[zone] {
			unreachable[zone] = true
		}
	}
	if len(unreachable) == len(known) {
		return nil
	}
	return unreachable
}
