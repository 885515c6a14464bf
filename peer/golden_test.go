package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"cedardoor/internal/golden"
	"cedardoor/quota"
)

// released has the messages between controllers as release f8c9f67 declared them: gob matches
// fields by name, so a field that is renamed on one side arrives as zero.
type (
	releasedAsk struct {
		Outage       releasedOutage
		Cancelled    []string
		Counts       []string
		Method, Path string
		Body         []byte
		Teams        bool
		TeamsAfter   string
		Report       string
	}
	releasedOutage struct {
		Asked bool
		Lead  uint64
		Epoch uint64
	}
	releasedWord struct {
		Attests   bool
		Cancelled []string
	}
	releasedReply struct {
		Word   releasedWord
		Counts map[string][2]int
		Status int
		Body   []byte
		Teams  []byte
		Report []byte
		Epoch  uint64
	}
	releasedTeamsPage struct {
		Teams []quota.TeamReport
		More  bool
	}
)

func goldenRequests() []Request {
	return []Request{
		{Attestation: AttestationRequest{Requested: true, LeaderRevision: 41, KnownRevision: 77}},
		{CancelHints: []string{"j-3", "j-4"}},
		{CountsOf: []string{"j-5"}},
		{User: UserRequest{Method: "POST", Path: "/v2/runs", Body: []byte("body")}},
		{Teams: TeamsRequest{Requested: true, After: "orders"}},
		{Report: ReportRecovery},
		{},
	}
}

func releasedRequests() []releasedAsk {
	return []releasedAsk{
		{Outage: releasedOutage{Asked: true, Lead: 41, Epoch: 77}},
		{Cancelled: []string{"j-3", "j-4"}},
		{Counts: []string{"j-5"}},
		{Method: "POST", Path: "/v2/runs", Body: []byte("body")},
		{Teams: true, TeamsAfter: "orders"},
		{Report: "recovery"},
		{},
	}
}

func goldenResponses() []Response {
	return []Response{
		{Attestation: Attestation{Attested: true, Cancelled: []string{"j-3"}}},
		{Counts: map[string]TaskCounts{"j-5": {Done: 2, Running: 3}}},
		{User: UserResponse{Status: 200, Body: []byte("answer"), CancelRevision: 78}},
		{TeamsPage: []byte("page")},
		{Report: []byte("{}")},
		{},
	}
}

func releasedResponses() []releasedReply {
	return []releasedReply{
		{Word: releasedWord{Attests: true, Cancelled: []string{"j-3"}}},
		{Counts: map[string][2]int{"j-5": {2, 3}}},
		{Status: 200, Body: []byte("answer"), Epoch: 78},
		{Teams: []byte("page")},
		{Report: []byte("{}")},
		{},
	}
}

func goldenPage() TeamsPage {
	return TeamsPage{More: true, Teams: []quota.TeamReport{{
		Team:         "orders",
		Tasks:        quota.TasksReport{Booked: 1, InDoubt: 2, Running: 3, Stopping: 4},
		Cores:        quota.ResourceReport{Limit: 10, Guarantee: 5, InUse: 8, Booked: 1, InDoubt: 2, Running: 3, Stopping: 2},
		Accelerators: quota.ResourceReport{Limit: 1},
		Waiting:      quota.WaitingReport{Jobs: 1, Tasks: 2, WithinGuarantee: 1, Reasons: map[quota.Reason]int{quota.ReasonLimit: 2}},
	}}}
}

// stream encodes values one after another, as on one connection.
func stream[T any](t *testing.T, values []T) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	for _, v := range values {
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// unstream decodes n values of one connection.
func unstream[T any](t *testing.T, raw []byte, n int) []T {
	t.Helper()
	decoder := gob.NewDecoder(bytes.NewReader(raw))
	out := make([]T, n)
	for i := range out {
		if err := decoder.Decode(&out[i]); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func same(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s:\n%+v, want\n%+v", what, got, want)
	}
}

// converted maps values as a connection does at its edge.
func converted[From, To any](values []From, convert func(*From) To) []To {
	out := make([]To, len(values))
	for i := range values {
		out[i] = convert(&values[i])
	}
	return out
}

// TestGoldenRequests reads the requests that release f8c9f67 wrote, and has it read those of this one.
func TestGoldenRequests(t *testing.T) {
	want := goldenRequests()
	received := unstream[wireRequest](t, golden.Read(t, "asks.gob"), len(want))
	same(t, "recorded requests", converted(received, (*wireRequest).toRequest), want)
	sent := stream(t, converted(want, (*Request).toWire))
	same(t, "requests as the release reads them", unstream[releasedAsk](t, sent, len(want)), releasedRequests())
}

// TestGoldenResponses does the same for responses.
func TestGoldenResponses(t *testing.T) {
	want := goldenResponses()
	received := unstream[wireResponse](t, golden.Read(t, "replies.gob"), len(want))
	same(t, "recorded responses", converted(received, (*wireResponse).toResponse), want)
	sent := stream(t, converted(want, (*Response).toWire))
	same(t, "responses as the release reads them", unstream[releasedReply](t, sent, len(want)), releasedResponses())
}

// TestGoldenTeamsPage does the same for the page of teams, which travels encoded by itself.
func TestGoldenTeamsPage(t *testing.T) {
	want := goldenPage()
	got, err := DecodeTeamsPage(golden.Read(t, "teams_page.gob"))
	if err != nil {
		t.Fatal(err)
	}
	same(t, "recorded page", got, want)
	raw, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	same(t, "page as the release reads it", unstream[releasedTeamsPage](t, raw, 1)[0], releasedTeamsPage(want))
}
