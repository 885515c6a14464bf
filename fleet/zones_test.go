package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Nothing is rented in a zone of whose machines nearly all are silent, and
// when all zones are, the fault is the controller's own.
func TestNothingIsRentedInACutZone(t *testing.T) {
	tests := []struct {
		quiet, known map[string]int
		want         map[string]bool
	}{
		{map[string]int{"x": 9}, map[string]int{"x": 10, "y": 10}, map[string]bool{"x": true}},
		{map[string]int{"x": 2}, map[string]int{"x": 2, "y": 10}, map[string]bool{}},
		{map[string]int{"x": 7}, map[string]int{"x": 10, "y": 10}, map[string]bool{}},
		{map[string]int{"x": 9, "y": 9}, map[string]int{"x": 10, "y": 10}, nil},
	}
	for _, tt := range tests {
		if got := UnreachableZones(tt.quiet, tt.known); !cmp.Equal(got, tt.want) {
			t.Errorf("silent %v of %v: avoided %v, want %v", tt.quiet, tt.known, got, tt.want)
		}
	}
}
