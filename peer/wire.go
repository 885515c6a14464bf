package peer

// The messages as they travel. Gob matches fields by their names, so these stay as
// they were released: a field that is renamed arrives as zero at other releases.

// wireRequest is the form of a Request.
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

// wireOutage is the form of an AttestationRequest.
type wireOutage struct {
	Asked bool
	Lead  uint64
	Epoch uint64
}

// wireResponse is the form of a Response.
type wireResponse struct {
	Word   wireWord
	Counts map[string]wireCounts
	Status int
	Body   []byte
	Teams  []byte
	Report []byte
	Epoch  uint64
}

// wireCounts is the form of TaskCounts: tasks done and tasks running.
type wireCounts = [2]int

// wireWord is the form of an Attestation.
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
	for uid, of := range counts {
		out[uid] = wireCounts{of.Done, of.Running}
	}
	return out
}

func countsFromWire(counts map[string]wireCounts) map[string]TaskCounts {
	if counts == nil {
		return nil
	}
	out := make(map[string]TaskCounts, len(counts))
	for uid, of := range counts {
		out[uid] = TaskCounts{Done: of[0], Running: of[1]}
	}
	return out
}
