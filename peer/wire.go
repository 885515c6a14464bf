package peer

// The types below are the messages as they are sent. Gob matches fields by name, so the
// fields must keep their released names: other releases would receive a renamed field as
// zero.

// wireRequest is the wire format of a Request.
type wireRequest struct {
	Outage       wireOutage
	Cancelled    []string
	Counts       []string
	Method, Path string
	Body         []byte
	Teams        bool
	TeamsAfter   string
	Report       string
}

// wireOutage is the wire format of an AttestationRequest.
type wireOutage struct {
	Asked bool
	Lead  uint64
	Epoch uint64
}

// wireResponse is the wire format of a Response.
type wireResponse struct {
	Word   wireWord
	Counts map[string]wireCounts
	Status int
	Body   []byte
	Teams  []byte
	Report []byte
	Epoch  uint64
}

// wireCounts is the wire format of TaskCounts: the number of done tasks, then of running ones.
type wireCounts = [2]int

// wireWord is the wire format of an Attestation.
type wireWord struct {
	Attests   bool
	Cancelled []string
}

func (r *Request) toWire() *wireRequest {
	return &wireRequest{
		Outage: wireOutage{
			Asked: r.Attestation.Requested,
			Lead:  r.Attestation.LeaderRevision,
			Epoch: r.Attestation.KnownRevision,
		},
		Cancelled:  r.CancelHints,
		Counts:     r.CountsOf,
		Method:     r.User.Method,
		Path:       r.User.Path,
		Body:       r.User.Body,
		Teams:      r.Teams.Requested,
		TeamsAfter: r.Teams.After,
		Report:     string(r.Report),
	}
}

func (w *wireRequest) toRequest() Request {
	return Request{
		Attestation: AttestationRequest{
			Requested:      w.Outage.Asked,
			LeaderRevision: w.Outage.Lead,
			KnownRevision:  w.Outage.Epoch,
		},
		CancelHints: w.Cancelled,
		CountsOf:    w.Counts,
		User:        UserRequest{Method: w.Method, Path: w.Path, Body: w.Body},
		Teams:       TeamsRequest{Requested: w.Teams, After: w.TeamsAfter},
		Report:      ReportKind(w.Report),
	}
}

func (r *Response) toWire() *wireResponse {
	return &wireResponse{
		Word:   wireWord{Attests: r.Attestation.Attested, Cancelled: r.Attestation.Cancelled},
		Counts: countsToWire(r.Counts),
		Status: r.User.Status,
		Body:   r.User.Body,
		Teams:  r.TeamsPage,
		Report: r.Report,
		Epoch:  r.User.CancelRevision,
	}
}

func (w *wireResponse) toResponse() Response {
	return Response{
		Attestation: Attestation{Attested: w.Word.Attests, Cancelled: w.Word.Cancelled},
		Counts:      countsFromWire(w.Counts),
		User:        UserResponse{Status: w.Status, Body: w.Body, CancelRevision: w.Epoch},
		TeamsPage:   w.Teams,
		Report:      w.Report,
	}
}

func countsToWire(counts map[string]TaskCounts) map[string]wireCounts {
	if counts == nil {
		return nil
	}
	out := make(map[string]wireCounts, len(counts))
	for uid, count := range counts {
		out[uid] = wireCounts{count.Done, count.Running}
	}
	return out
}

func countsFromWire(counts map[string]wireCounts) map[string]TaskCounts {
	if counts == nil {
		return nil
	}
	out := make(map[string]TaskCounts, len(counts))
	for uid, count := range counts {
		out[uid] = TaskCounts{Done: count[0], Running: count[1]}
	}
	return out
}
