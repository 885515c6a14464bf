package fleet

const (
	// minSilentInZone is how many silent machines of a zone may each be at fault themselves.
	minSilentInZone = 3
	// silentPercent is the share of a zone's machines beyond which it is unreachable as a whole.
	silentPercent = 80
)

// UnreachableZones names the zones nearly all of whose machines are silent, given how many are
// and how many should report. A wave of spot machines taken back leaves others. When all zones
// are silent, the fault is this controller's, and none is named.
func UnreachableZones(silent, known map[string]int) map[string]bool {
	unreachable := map[string]bool{}
	for zone, n := range silent {
		if n >= minSilentInZone && 100*n > silentPercent*known[zone] {
			unreachable[zone] = true
		}
	}
	if len(unreachable) == len(known) {
		return nil
	}
	return unreachable
}
