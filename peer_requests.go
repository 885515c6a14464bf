package cedardoor

import (
	"bytes"
	"context"
	"net/http"

	"cedardoor/api"
	"cedardoor/clock"
	"cedardoor/peer"
)

// refusalTimeout limits how long the state service may take to refuse this node.
const refusalTimeout = 500 * clock.Millisecond

// answerPeer serves a request from another controller.
func (s *Service) answerPeer(ctx context.Context, request peer.Request) peer.Response {
	var response peer.Response
	if request.Attestation.Requested {
		response.Attestation = s.attest(ctx, request.Attestation)
	}
	if l := s.current.Load(); l != nil && len(request.CancelHints) > 0 {
		l.hintCancelled(request.CancelHints)
	}
	if len(request.CountsOf) > 0 {
		if l := s.current.Load(); l != nil {
			response.Counts = l.taskCounts(request.CountsOf)
		}
	}
	if request.Teams.Requested {
		response.TeamsPage = s.view.TeamsPage(request.Teams.After)
	}
	if request.Report != "" {
		response.Report = s.view.EncodedReport(request.Report)
	}
	if request.User.Path != "" && !s.store.Failing() {
		response.User = s.serveRelayed(ctx, request.User)
	}
	return response
}

// serveRelayed serves a user's request that another controller relayed.
func (s *Service) serveRelayed(ctx context.Context, request peer.UserRequest) (response peer.UserResponse) {
	httpRequest, err := http.NewRequestWithContext(api.MarkRelayed(ctx), request.Method, request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return response
	}
	buffered := api.NewBufferedResponse()
	s.router.ServeHTTP(buffered, httpRequest)
	response.Status, response.Body = buffered.Status, buffered.Body.Bytes()
	response.CancelRevision = s.users.Cancellations.Revision(api.JobOfRequest(request.Path, request.Body))
	return response
}

// attest attests an outage of the state service to the requesting leader, if this node can: the
// service must refuse this node now, no later leader may be known here, and this node must be able
// to list every cancellation that the leader may have missed.
func (s *Service) attest(ctx context.Context, request peer.AttestationRequest) (attestation peer.Attestation) {
	if !s.store.ProbeRefused(ctx, refusalTimeout) || s.elector.NewestRevision() > request.LeaderRevision {
		return attestation
	}
	attestation.Cancelled, attestation.Attested = s.users.Cancellations.Since(request.KnownRevision, s.store.FirstRevision())
	return attestation
}

// requestAttestations asks every other controller to attest that the state service refuses it too.
// Only fresh attestations from all of them prove that no other controller leads. Jobs that they or
// this node know to be cancelled are stopped before the attestations count.
func (s *Service) requestAttestations(ctx context.Context) bool {
	l := s.current.Load()
	if l == nil {
		return false
	}
	request := peer.AttestationRequest{Requested: true, LeaderRevision: l.term.Revision, KnownRevision: l.syncedRevision()}
	own, complete := s.users.Cancellations.Since(request.KnownRevision, s.store.FirstRevision())
	others, all := s.peers.RequestAttestations(ctx, request)
	l.hintCancelled(append(own, others...))
	return complete && all
}

// relay forwards a user's request to the other controllers.
func (s *Service) relay(ctx context.Context, method, path string, body []byte) (status int, answer []byte, served bool) {
	if s.peers.RelayPaused() {
		return 0, nil, false
	}
	uid := api.JobOfRequest(path, body)
	if api.IsCancel(path) {
		s.users.Cancellations.Expect(uid)
	}
	response, served := s.peers.Relay(ctx, peer.UserRequest{Method: method, Path: path, Body: body})
	if served && response.CancelRevision > 0 {
		s.users.Cancellations.Record(uid, response.CancelRevision)
	}
	return response.Status, response.Body, served
}

// hintCancelled notifies the leader of a cancellation made through this node.
func (s *Service) hintCancelled(uid string) {
	if l := s.current.Load(); l != nil {
		l.hintCancelled([]string{uid})
		return
	}
	s.peers.HintCancelled(uid)
}

// taskCounts returns how many tasks of each job are done and running, for display only.
func (s *Service) taskCounts(ctx context.Context, uids []string) map[string]peer.TaskCounts {
	if l := s.current.Load(); l != nil {
		return l.taskCounts(uids)
	}
	return s.peers.Counts(ctx, uids)
}
