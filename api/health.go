package api

import "net/http"

// serveHealth reports this controller as unhealthy only if it reaches neither the state service nor
// any other controller: the others may then serve users better. In an outage of the state service
// alone, all controllers report the same, so that the load balancer removes none of them.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.Isolated != nil && s.Store.Failing() && s.Isolated(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
