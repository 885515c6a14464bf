package agent

import (
	"net/http"

	"cedardoor/wire"
)

// contentType is the header's value in every response. It is shared, so nothing may write to it.
var contentType = []string{wire.ContentType}

// WriteResponse sends a response with a MessagePack body.
func WriteResponse(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		http.Error(w, "encode", http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = contentType
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
