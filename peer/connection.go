package peer

import (
	"encoding/gob"
	"errors"
	"io"
	"net"
)

// maxMessageBytes limits the size of a message, also from a client that is not a controller.
const maxMessageBytes = 80 << 10

// errMessageTooLarge means that a message is larger than maxMessageBytes.
var errMessageTooLarge = errors.New("peer message too large")

// connection is a network connection with a gob stream in each direction.
type connection struct {
	net.Conn
	limit   *limitedReader
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newConnection(conn net.Conn) *connection {
	limit := &limitedReader{reader: conn}
	return &connection{Conn: conn, limit: limit, encoder: gob.NewEncoder(conn), decoder: gob.NewDecoder(limit)}
}

// send writes one message.
func (c *connection) send(message any) error { return c.encoder.Encode(message) }

// receive reads one message.
func (c *connection) receive(message any) error {
	c.limit.left = maxMessageBytes
	return c.decoder.Decode(message)
}

// limitedReader returns errMessageTooLarge if the current message is too large.
type limitedReader struct {
	reader io.Reader
	left   int // bytes that may still be read for the current message
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
