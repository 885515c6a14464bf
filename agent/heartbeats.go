package agent

import (
	"bytes"
	"net/http"
	"sync"

	"cedardoor/wire"
)

// HeartbeatReceiver processes workers' heartbeats.
type HeartbeatReceiver interface {
	// Heartbeat processes a worker's report. It returns false if this controller may not
	// respond, because it does not lead or has not loaded the records yet. The report is
	// valid only during the call.
	Heartbeat(report *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool)
	// Leader returns the leader's name, empty if the leader is unknown or this controller.
	Leader() string
}

// bodyBuffers is a pool of buffers for request bodies, because every worker sends one every few
// seconds.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ServeHeartbeat returns a handler of the POST requests with workers' reports. While connections are
// scarce, the response asks the worker to close its connection: the next heartbeat is seconds away
// and may use a new one.
func ServeHeartbeat(receiver HeartbeatReceiver, connectionsScarce func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if connectionsScarce() {
			w.Header().Set("Connection", "close")
		}
		// The report aliases the buffer, so it must not outlive the request.
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

// redirectToLeader responds with the name of the leader to report to, or with 503 if it is unknown.
func redirectToLeader(w http.ResponseWriter, leader string) {
	if leader == "" {
		WriteResponse(w, http.StatusServiceUnavailable, wire.Error{Error: "no leader"})
		return
	}
	WriteResponse(w, http.StatusMisdirectedRequest, wire.Redirect{Leader: leader})
}
