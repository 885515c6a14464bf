package api

import "net/http"

// serveHealth reports this controller as unhealthy only if it reaches neither the state service nor
// any other controller, so that others may do better. In an outage of the state service all
// controllers respond alike, so that the load balancer takes none of them out.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.Isolated != nil && s.Store.Failing() && s.Isolated(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
