package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"cedardoor/quota"
)

// Request is what one controller asks of another. Each part that is set is served;
// a request without any only tells whether the other controller answers.
type Request struct {
	Attestation AttestationRequest
	// CancelHints are jobs whose users were told that they are cancelled.
	CancelHints []string
	// CountsOf are jobs whose tasks are to be counted, which only a leader can.
	CountsOf []string
	User     UserRequest
	Teams    TeamsRequest
	Report   ReportKind
}

// AttestationRequest is a leader's question whether the state service refuses the
// other controller too, and what that one knows to be cancelled.
type AttestationRequest struct {
	Requested      bool
	LeaderRevision uint64 // of the leader key under which the sender leads
	KnownRevision  uint64 // up to which the sender knows the changes of jobs
}

// UserRequest is a user's request that the sender can't serve because the state
// service refuses it: it is served as if it had come here. Without a path there is none.
type UserRequest struct {
	Method string
	Path   string
	Body   []byte
}

// TeamsRequest asks for a page of what teams use.
type TeamsRequest struct {
	Requested bool
	After     string // the last team of the page before
}

// ReportKind is a kind of report that only a leader can make.
type ReportKind string

// ReportRecovery is how far a leader has taken over, as JSON of recovery.Report.
const ReportRecovery ReportKind = "recovery"

// Response is the answer to a Request.
type Response struct {
	Attestation Attestation
	Counts      map[string]TaskCounts // by job
	User        UserResponse
	TeamsPage   []byte // an encoded TeamsPage; empty unless the sender leads
	Report      []byte // empty unless the sender leads
}

// TaskCounts is how many tasks of a job are done and how many are running.
type TaskCounts struct{ Done, Running int }

// Attestation is the answer to an AttestationRequest; without Attested it says nothing.
type Attestation struct {
	// Attested tells that the state service refuses the sender, which knows no later
	// leader, and that Cancelled is complete.
	Attested bool
	// Cancelled are the jobs of which the sender has told users that they are cancelled,
	// or may be about to, by changes after the known revision or of unknown outcome.
	Cancelled []string
}

// UserResponse is the response to a user's request; without a status there is none.
type UserResponse struct {
	Status int
	Body   []byte
	// CancelRevision is the revision at which the job was cancelled that the request was about, if it was.
	CancelRevision uint64
}

// TeamsPage is what a leader tells of the teams. It travels encoded by itself: each
// connection between controllers would else carry and compile its types, though
// operators seldom ask. Its fields are matched by name in every release.
type TeamsPage struct {
	Teams []quota.TeamReport // by name
	More  bool               // there are further teams
}

// Encode makes the form in which a page travels.
func (p *TeamsPage) Encode() ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(p); err != nil {
		return nil, fmt.Errorf("encode teams: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeTeamsPage reads a page as it travels.
func DecodeTeamsPage(raw []byte) (page TeamsPage, err error) {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&page); err != nil {
		return page, fmt.Errorf("decode teams: %w", err)
	}
	return page, nil
}
