package agent

import (
	"bytes"
	"net/http"
	"sync"

	"cedardoor/wire"
)

// HeartbeatReceiver is the leader's side of heartbeats.
type HeartbeatReceiver interface {
	// Heartbeat processes a worker's report. It returns false if this controller is not the
	// leader, so that it may not respond.
	Heartbeat(report *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool)
	// Leader names the leader, empty if it is unknown or this controller.
	Leader() string
}

// bodyBuffers holds buffers for request bodies: every worker sends one every few seconds.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeHeartbeat handles POST of a worker's report. While connections are scarce, the response asks
// the worker to close its own: the next heartbeat is seconds away and may use a new one.
func ServeHeartbeat(receiver HeartbeatReceiver, connectionsScarce func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if connectionsScarce() {
			w.Header().Set("Connection", "close")
		}
		// The report refers to the buffer, so it must not outlive the request.
		body := bodyBuffers.Get().(*bytes.Buffer)
		defer bodyBuffers.Put(body)
		body.Reset()
		if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxBody)); err != nil {
			WriteResponse(w, http.StatusBadRequest, wire.Error{Error: "body too large or cut short"})
			return
		}
		report, err := wire.DecodeHeartbeat(body.Bytes())
		if err != nil {
			WriteResponse(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		if response, ok := receiver.Heartbeat(&report); ok {
			WriteResponse(w, http.StatusOK, response)
			return
		}
		redirectToLeader(w, receiver.Leader())
	}
}

// redirectToLeader tells a worker which controller to report to, if that is known.
func redirectToLeader(w http.ResponseWriter, leader string) {
	if leader == "" {
		WriteResponse(w, http.StatusServiceUnavailable, wire.Error{Error: "no leader"})
		return
	}
	WriteResponse(w, http.StatusMisdirectedRequest, wire.Redirect{Leader: leader})
}
