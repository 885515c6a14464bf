package cedardoor

import (
	"testing"

	"cedardoor/clock"
	"cedardoor/wire"
)

// A report that changes nothing costs the same few allocations however many
// machines there are and however many tasks it lists: its task list is compared
// where it lies in the body, not copied and not decoded.
func TestUnchangedReportAllocatesLittle(t *testing.T) {
	allocs := func(machines, tasks int) float64 {
		_, l := ledFleet(t, machines, tasks)
		raw := body(t, report(0, tasks, 1, l.term.Token))
		tally := uint64(100)
		heartbeat := func() {
			tally++
			setTally(t, raw, tally)
			rep, err := wire.DecodeHeartbeat(raw)
			if err != nil {
				t.Fatal(err)
			}
			ans, ok := l.Heartbeat(&rep)
			// The first list that comes as bytes is new.
			if !ok || len(ans.Commands) != 0 || rep.Tasks != nil && tally > 101 {
				t.Fatalf("answered %t with %d orders, %d tasks decoded", ok, len(ans.Commands), len(rep.Tasks))
			}
		}
		heartbeat()
		return testing.AllocsPerRun(200, heartbeat)
	}
	small, large := allocs(20, 4), allocs(400, 60)
	// The race detector lets pools lose some of what they keep.
	if large > small+1 || large > 9 {
		t.Errorf("an unchanged report allocates %.0f times, %.0f in a larger fleet with more tasks; want the same and at most 9", small, large)
	}
}

// How often polls make a node read is bounded by its share of a processor, however
// many come, and an answer never waits long for its read.
func TestPollsReadByTheShare(t *testing.T) {
	for _, tt := range []struct {
		share float64
		reads int // a second, at most
	}{{0.01, 4}, {0.04, 4}, {0.1, 6}, {0.3, 22}, {0.5, 50}} {
		pause := pollPause(tt.share)
		if reads := int(clock.Second / pause); reads > tt.reads || pause > clock.Second/4 {
			t.Errorf("%v of a core: %d reads a second, %v us apart; want at most %d, and at most a quarter of a second", tt.share, reads, pause, tt.reads)
		}
	}
	if pollPause(1) != 0 {
		t.Error("a whole core waits")
	}
}
