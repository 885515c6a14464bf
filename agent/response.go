package agent

import (
	"net/http"

	"cedardoor/wire"
)

// contentType is the value of the Content-Type header of every response. It is shared and must not be
// modified.
var contentType = []string{wire.ContentType}

// WriteResponse writes a response with a MessagePack body.
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
