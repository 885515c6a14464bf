package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"cedardoor/quota"
)

// Request is a request from one controller to another. Each part that is set is served;
// a request without any part only checks whether the other controller responds.
type Request struct {
	Attestation AttestationRequest
	// CancelHints lists jobs that were cancelled through the sender.
	CancelHints []string
	// CountsOf lists jobs whose done and running tasks the leader should count. Controllers that
	// do not lead ignore it.
	CountsOf []string
	User     UserRequest
	Teams    TeamsRequest
	Report   ReportKind
}

// AttestationRequest is a leader's request to another controller to attest that the
// state service refuses that controller too, and to list the cancellations it knows of.
type AttestationRequest struct {
	Requested      bool
	LeaderRevision uint64 // of the leader key, in the sender's term
	KnownRevision  uint64 // up to which the sender knows all changes of jobs
}

// UserRequest is a user's request that the sender relays because the state service does
// not serve the sender. The receiver serves it like a request of its own users. An empty
// Path means that there is none.
type UserRequest struct {
	Method string
	Path   string
	Body   []byte
}

// TeamsRequest requests a page of the teams' usage.
type TeamsRequest struct {
	Requested bool
	After     string // the last team of the previous page
}

// ReportKind is a kind of report that only a leader can make.
type ReportKind string

// ReportRecovery is the progress of the leader's recovery: a recovery.Report in JSON.
const ReportRecovery ReportKind = "recovery"

// Response holds the results of the parts of a Request.
type Response struct {
	Attestation Attestation
	Counts      map[string]TaskCounts // by job
	User        UserResponse
	TeamsPage   []byte // an encoded TeamsPage; empty unless the sender leads
	Report      []byte // empty unless the sender leads
}

// TaskCounts holds how many tasks of a job are done and how many are running.
type TaskCounts struct{ Done, Running int }

// Attestation is the response to an AttestationRequest. Unless Attested is set, it has no
// meaning.
type Attestation struct {
	// Attested reports that the state service refuses the sender, that the sender knows of
	// no later leader, and that Cancelled is complete.
	Attested bool
	// Cancelled lists the jobs that the sender has reported to users as cancelled, or may be
	// about to, whose cancellation is later than the known revision or of unknown outcome.
	Cancelled []string
}

// UserResponse is the response to a UserRequest. A zero Status means that there is none.
type UserResponse struct {
	Status int
	Body   []byte
	// CancelRevision is the revision at which the requested job was cancelled, zero if it was not.
	CancelRevision uint64
}

// TeamsPage is a page of the leader's report on the teams. It is encoded separately:
// otherwise every connection between controllers would transmit and compile its types,
// though operators seldom request it. Gob matches its fields by name, so they keep their
// names in every release.
type TeamsPage struct {
	Teams []quota.TeamReport // by name
	More  bool               // whether more teams follow
}

// Encode encodes a page for Response.TeamsPage.
func (p *TeamsPage) Encode() ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(p); err != nil {
		return nil, fmt.Errorf("encode teams page: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeTeamsPage decodes a page that was encoded by Encode.
func DecodeTeamsPage(raw []byte) (page TeamsPage, err error) {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&page); err != nil {
		return page, fmt.Errorf("decode teams page: %w", err)
	}
	return page, nil
}
