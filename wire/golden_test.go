package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// goldenMessages are protocol messages with all fields set, and with optional ones left out.
// The files under testdata/golden hold the bytes that release f8c9f67 made of them.
func goldenMessages() map[string]any {
	seconds := 12.5
	return map[string]any{
		"spec": Spec{UID: "j-17", Lane: "nightly", Owner: "orders", Shape: ShapeBatch, Rank: "high", Pieces: 3, Cores: 1.5, Accel: 1, RAM: 2.25,
			Bundle: "b-1", ImageGB: 0.5, Builds: []string{"m1", "m2"}, Yard: "north", SamePlace: true, Apart: true, Loaned: true, ExpectS: 30,
			BookmarkS: 10, StowS: 2, DueS: &seconds},
		"spec_least":       Spec{UID: "j-1", Pieces: 1},
		"view":             View{UID: "j-17", Status: JobRunning, Done: 1, Running: 2},
		"error":            Error{Error: "no such job"},
		"piece_report":     PieceReport{Piece: "j-17/2", Try: 4, Status: PieceEnded, Cause: CauseDone, Kept: true},
		"heartbeat":        goldenHeartbeat(&seconds),
		"heartbeat_least":  goldenHeartbeat(nil),
		"heartbeat_answer": BeatAnswer{Warrant: 9, Orders: []Order{{Verb: VerbHalt, Piece: "j-17/2", Try: 4, LeewayS: &seconds}, {Verb: VerbRun, Piece: "j-17/0", Try: 1}}},
		"redirect":         Redirect{Steward: "node-b"},
		"redirect_unknown": Redirect{},
		"do":               Do{Warrant: 9, Tenure: 7, Orders: []Order{{Verb: VerbForget, Piece: "j-17/1", Try: 2}}},
		"catalog": Catalog{Builds: []Build{{SKU: "m1", Cores: 8, Accel: 1, RAM: 32, CacheGB: 100, FetchGBs: 0.25, Hourly: 0.4, Spot: 0.1,
			ReadyS: 40, Yards: []string{"north", "south"}}}},
		"rent_request": RentRequest{Hire: "r-3-1", Build: "m1", Yard: "north", Loaned: true, Count: 2},
		"hosts":        Hosts{Hosts: []string{"h-1", "h-2"}},
		"host_page": HostPage{Hosts: []Host{{UID: "h-1", Endpoint: "127.0.0.1:1", Build: "m1", Yard: "north", Loaned: true,
			Status: HostBooting, HeldS: 3.5}}, HasNext: true},
		"rows": Rows{Rows: []Row{{Path: "j/j-17", Value: []byte{0x01}, Stamp: 5, Hold: 6}}, HasNext: true, Epoch: 77},
		"txn": Txn{When: []When{{Path: "lead", Stamp: 5}}, Apply: []Apply{{Set: "j/j-17", Value: View{UID: "j-17"}, Hold: 6},
			{Delete: "j/j-18"}}},
		"txn_answer":   TxnAnswer{Epoch: 77, Failed: []string{"lead"}},
		"hold_request": HoldRequest{TTLms: 8000},
		"hold_answer":  HoldAnswer{Hold: 6},
		"changes":      Changes{Epoch: 78, Events: []Event{{Set: "j/j-17", Value: []byte{0x01}, Stamp: 78}, {Delete: "j/j-18", Value: []byte{0x02}, Stamp: 78}}},
	}
}

func goldenHeartbeat(warning *float64) Beat {
	return Beat{Host: "h-1", Endpoint: "127.0.0.1:1", Build: "m1", Yard: "north", Loaned: true, Tenure: 7, Tally: 8, Warrant: 9, WarningS: warning,
		Pieces: []PieceReport{{Piece: "j-17/2", Try: 4, Status: PieceRunning}}}
}

// TestGoldenMessages holds the form of every message against the bytes of release f8c9f67, both ways.
func TestGoldenMessages(t *testing.T) {
	for name, message := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".msgpack"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encoded as\n%q, want\n%q", got, want)
			}
			if name == "txn" {
				return // values of any kind are only ever sent
			}
			decoded := reflect.New(reflect.TypeOf(message))
			if err := Unmarshal(want, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded.Elem().Interface(), message) {
				t.Errorf("decoded as\n%+v, want\n%+v", decoded.Elem().Interface(), message)
			}
		})
	}
}

// TestGoldenReportsByHand reads the recorded reports and specifications with the decoders that check them.
func TestGoldenReportsByHand(t *testing.T) {
	for _, name := range []string{"heartbeat", "heartbeat_least"} {
		raw, err := os.ReadFile(filepath.Join("testdata", "golden", name+".msgpack"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeBeat(raw)
		if err != nil {
			t.Fatal(err)
		}
		if err := got.DecodePieces(); err != nil {
			t.Fatal(err)
		}
		got.Raw = nil
		if want := goldenMessages()[name]; !reflect.DeepEqual(got, want) {
			t.Errorf("%s decoded as\n%+v, want\n%+v", name, got, want)
		}
	}
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", "spec.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeSpec(raw)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenMessages()["spec"]; !reflect.DeepEqual(got, want) {
		t.Errorf("specification decoded as\n%+v, want\n%+v", got, want)
	}
}

// TestTags lists the names of all fields on the wire, in their order.
func TestTags(t *testing.T) {
	tests := []struct {
		message any
		want    string
	}{
		{Spec{}, "uid lane owner shape rank pieces cores accelerators ram_gb bundle image_gb builds yard same_place apart loaned expect_s bookmark_s stow_s due_s"},
		{View{}, "uid status done running"},
		{Error{}, "error"},
		{PieceReport{}, "piece try status cause,omitempty kept,omitempty"},
		{Beat{}, "host endpoint build yard loaned tenure tally warrant warning_s pieces -"},
		{Order{}, "verb piece try leeway_s,omitempty"},
		{BeatAnswer{}, "warrant orders"},
		{Redirect{}, "steward,omitempty"},
		{Do{}, "warrant tenure orders"},
		{Build{}, "sku cores accelerators ram_gb cache_gb fetch_gb_per_s hourly spot_price ready_s yards"},
		{Catalog{}, "builds"},
		{RentRequest{}, "hire build yard loaned count"},
		{Hosts{}, "hosts"},
		{Host{}, "uid endpoint build yard loaned status held_s"},
		{HostPage{}, "hosts has_next"},
		{Row{}, "path v stamp hold"},
		{Rows{}, "rows has_next epoch"},
		{When{}, "path stamp"},
		{Apply{}, "set,omitempty v,omitempty hold,omitempty delete,omitempty"},
		{Txn{}, "when apply"},
		{TxnAnswer{}, "epoch failed"},
		{HoldRequest{}, "ttl_ms"},
		{HoldAnswer{}, "hold"},
		{Event{}, "set delete v stamp"},
		{Changes{}, "epoch events"},
	}
	for _, tt := range tests {
		kind := reflect.TypeOf(tt.message)
		var tags []string
		for i := range kind.NumField() {
			tags = append(tags, kind.Field(i).Tag.Get("msgpack"))
		}
		if got := strings.Join(tags, " "); got != tt.want {
			t.Errorf("%s: %q, want %q", kind, got, tt.want)
		}
	}
}
