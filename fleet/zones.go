package fleet

const (
	// minUnresponsiveInZone is how many machines of a zone may be unresponsive, each
	// for a reason of its own.
	minUnresponsiveInZone = 3
	// unreachablePercent is the share of a zone's machines beyond which the zone
	// itself is unreachable. Machines that the cloud takes back leave others.
	unreachablePercent = 80
)

// UnreachableZones names the zones nearly all of whose machines are unresponsive,
// given how many are and how many should report. When that is so of all zones,
// the fault is this controller's own, and none is named.
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
