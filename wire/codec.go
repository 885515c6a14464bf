package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrMalformed means that a body does not conform to the protocol.
var ErrMalformed = errors.New("malformed")

var (
	errNotText       = errors.New("not text")
	errNotNumber     = errors.New("not a number")
	errNotFinite     = errors.New("negative or not finite")
	errNotBool       = errors.New("not true or false")
	errTrailingBytes = fmt.Errorf("%w: bytes after the body", ErrMalformed)
)

// Marshal encodes a body in MessagePack.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes a MessagePack body. It ignores unknown fields and rejects trailing bytes.
func Unmarshal(body []byte, v any) error {
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Len() != 0 {
		return errTrailingBytes
	}
	return nil
}

// maxShortKey is the maximum length of a field name that is read without an allocation.
const maxShortKey = 32

// fieldDecoder decodes a body that is a map, field by field.
type fieldDecoder struct {
	*msgpack.Decoder
	input bytes.Reader // unread part of body; the decoder has no buffer of its own
	body  []byte
	value []byte // encoding of the current field's value
	key   [maxShortKey]byte
}

// fieldDecoders is a pool, because every heartbeat needs a decoder.
var fieldDecoders = sync.Pool{New: func() any { return &fieldDecoder{Decoder: msgpack.NewDecoder(nil)} }}

// readKey reads a field's name. The name is valid until the next call.
func (d *fieldDecoder) readKey() ([]byte, error) {
	n, err := d.DecodeBytesLen()
	if err != nil || n > d.input.Len() {
		return nil, errNotText
	}
	key := d.key[:]
	if n > len(key) {
		key = make([]byte, n)
	}
	key = key[:max(0, n)]
	return key, d.ReadFull(key)
}

// readValue finds the end of the next value, and checks that all lengths in it are true.
func (d *fieldDecoder) readValue() error {
	rest := d.body[len(d.body)-d.input.Len():]
	size, err := encodedSize(rest)
	d.value = rest[:size]
	return err
}

// skipRaw skips the current field's value and returns its encoding as a subslice of the body.
func (d *fieldDecoder) skipRaw() ([]byte, error) {
	_, err := d.input.Seek(int64(len(d.value)), io.SeekCurrent)
	return d.value, err
}

// skip skips the current field's value.
func (d *fieldDecoder) skip() error {
	_, err := d.skipRaw()
	return err
}

// decodeFields calls decode for each field of a body, which must be a map. decode must decode or skip
// the field's value.
func decodeFields(body []byte, decode func(d *fieldDecoder, key []byte) error) error {
	d := fieldDecoders.Get().(*fieldDecoder)
	defer func() {
		d.input.Reset(nil)
		d.body, d.value = nil, nil
		fieldDecoders.Put(d)
	}()
	d.body = body
	d.input.Reset(body)
	d.Reset(&d.input)
	n, err := d.DecodeMapLen()
	if err != nil || n < 0 {
		return fmt.Errorf("%w: not a map", ErrMalformed)
	}
	for range n {
		key, err := d.readKey()
		if err != nil {
			return fmt.Errorf("%w: a key is not text", ErrMalformed)
		}
		if err := d.readValue(); err != nil {
			return fmt.Errorf("%w: field %s: %w", ErrMalformed, key, err)
		}
		if err := decode(d, key); err != nil {
			return fmt.Errorf("%w: field %s: %w", ErrMalformed, key, err)
		}
	}
	if _, err := d.PeekCode(); !errors.Is(err, io.EOF) {
		return errTrailingBytes
	}
	return nil
}

// decodeNull consumes the next value if it is null, and reports whether it is.
func decodeNull(d *msgpack.Decoder) (isNull bool, err error) {
	code, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if code != msgpcode.Nil {
		return false, nil
	}
	return true, d.DecodeNil()
}

// decodeText decodes a string. It rejects other types that the decoder would convert to a string.
func decodeText(d *msgpack.Decoder) (string, error) {
	code, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(code) {
		return "", errNotText
	}
	return d.DecodeString()
}

// decodeBool decodes a boolean. It rejects null, which the decoder would convert to false.
func decodeBool(d *msgpack.Decoder) (bool, error) {
	code, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if code != msgpcode.True && code != msgpcode.False {
		return false, errNotBool
	}
	return d.DecodeBool()
}

// decodeAmount decodes a finite number that is zero or positive.
func decodeAmount(d *msgpack.Decoder) (float64, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if code == msgpcode.Nil || code == msgpcode.True || code == msgpcode.False || msgpcode.IsString(code) {
		return 0, errNotNumber
	}
	value, err := d.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, errNotFinite
	}
	return value, nil
}

// decodeOptionalAmount decodes a finite number that is zero or positive, or null as nil.
func decodeOptionalAmount(d *msgpack.Decoder) (*float64, error) {
	if isNull, err := decodeNull(d); isNull || err != nil {
		return nil, err
	}
	value, err := decodeAmount(d)
	return &value, err
}
