package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// newTestClient makes a client of a cloud that answers as the handler does.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), 1000)
}

// answer writes a status and an encoded body.
func answer(t *testing.T, w http.ResponseWriter, status int, body any) {
	t.Helper()
	encoded, err := wire.Marshal(body)
	if err != nil {
		t.Error(err)
	}
	w.WriteHeader(status)
	if _, err := w.Write(encoded); err != nil {
		t.Error(err)
	}
}

func TestRequestErrors(t *testing.T) {
	for _, tt := range []struct {
		name       string
		status     int
		body       any
		noCapacity bool
	}{
		{"no capacity", http.StatusServiceUnavailable, wire.Error{Error: "no capacity"}, true},
		{"out of service", http.StatusServiceUnavailable, wire.Error{Error: "maintenance"}, false},
		{"another status with the same words", http.StatusInternalServerError, wire.Error{Error: "no capacity"}, false},
		{"an answer that cannot be decoded", http.StatusOK, "names", false},
	} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { answer(t, w, tt.status, tt.body) })
		_, err := client.Rent(t.Context(), wire.RentRequest{RequestID: "r-1", MachineType: "s", Zone: "x", Count: 1})
		var failed *RequestError
		if !errors.As(err, &failed) {
			t.Errorf("%s: error %v, want a RequestError", tt.name, err)
			continue
		}
		if failed.Method != http.MethodPost || failed.Path != wire.PathRentals || failed.Status != tt.status {
			t.Errorf("%s: %+v", tt.name, failed)
		}
		if got := errors.Is(err, ErrNoCapacity); got != tt.noCapacity {
			t.Errorf("%s: %q means no capacity: %t", tt.name, err, got)
		}
	}
}

func TestCatalogRefusesTypesWithoutSize(t *testing.T) {
	for _, tt := range []struct {
		name  string
		spoil func(*wire.MachineType)
		valid bool
	}{
		{"whole", func(*wire.MachineType) {}, true},
		{"no name", func(m *wire.MachineType) { m.SKU = "" }, false},
		{"no cores", func(m *wire.MachineType) { m.Cores = 0 }, false},
		{"no memory", func(m *wire.MachineType) { m.RAM = 0 }, false},
		{"no zone", func(m *wire.MachineType) { m.Zones = nil }, false},
	} {
		machineType := small
		tt.spoil(&machineType)
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			answer(t, w, http.StatusOK, wire.Catalog{MachineTypes: []wire.MachineType{machineType}})
		})
		if _, err := client.Catalog(t.Context()); (err == nil) != tt.valid {
			t.Errorf("%s: error %v", tt.name, err)
		}
	}
}

// The machine list comes in pages, each from where the one before it ended.
func TestListReadsAllPages(t *testing.T) {
	const pages = 3
	var asked []string
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.Query().Get("since"))
		page := wire.MachinePage{Machines: []wire.Machine{{UID: fmt.Sprint("m", len(asked))}}, HasNext: len(asked) < pages}
		answer(t, w, http.StatusOK, page)
	})
	machines, err := client.List(t.Context())
	if err != nil || len(machines) != pages {
		t.Errorf("list of %d machines, error %v", len(machines), err)
	}
	if diff := cmp.Diff([]string{"", "m1", "m2"}, asked); diff != "" {
		t.Error(diff)
	}
}
