package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// errCutShort means that a value is longer than the rest of its body.
var errCutShort = errors.New("cut short")

// errUnknownCode means that a value begins with a byte that begins no value.
var errUnknownCode = errors.New("not MessagePack")

// Sizes of parts of an encoded value, in bytes.
const (
	codeBytes    = 1
	extTypeBytes = 1
)

// encodedSize returns the size of the encoded value at the start of body. It checks that the value and all
// that it contains end within the body, so that a length that is not true costs a decoder no memory.
func encodedSize(body []byte) (size int, err error) {
	rest := body
	for values := 1; values > 0; values-- {
		header, content, children, err := valueHeader(rest)
		if err != nil {
			return 0, err
		}
		// Each of the values that are still to come takes a byte at least.
		if remaining := uint64(len(rest) - header); content > remaining || children > remaining {
			return 0, errCutShort
		}
		rest = rest[header+int(content):]
		values += int(children)
	}
	return len(body) - len(rest), nil
}

// valueHeader returns, for the value at the start of rest, the size of its header, that of the bytes that
// follow, and how many values it contains.
func valueHeader(rest []byte) (header int, content, children uint64, err error) {
	if len(rest) == 0 {
		return 0, 0, 0, errCutShort
	}
	code := rest[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return codeBytes, 0, 0, nil
	case msgpcode.IsFixedMap(code):
		return codeBytes, 0, 2 * uint64(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return codeBytes, 0, uint64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		return codeBytes, uint64(code & msgpcode.FixedStrMask), 0, nil
	}
	layout, known := layouts[code]
	if !known {
		return 0, 0, 0, errUnknownCode
	}
	header = codeBytes + layout.lengthBytes
	if len(rest) < header {
		return 0, 0, 0, errCutShort
	}
	length := readLength(rest[codeBytes:header])
	return header, layout.fixedBytes + layout.bytesPerUnit*length, layout.childrenPerUnit * length, nil
}

// layout describes the values that begin with a code: a length of lengthBytes, and what follows it.
type layout struct {
	lengthBytes     int
	fixedBytes      uint64
	bytesPerUnit    uint64 // of the length
	childrenPerUnit uint64
}

// layouts holds the layout for each code that is not part of a range.
var layouts = map[byte]layout{
	msgpcode.Nil: {}, msgpcode.False: {}, msgpcode.True: {},
	msgpcode.Float: {fixedBytes: 4}, msgpcode.Double: {fixedBytes: 8},
	msgpcode.Uint8: {fixedBytes: 1}, msgpcode.Uint16: {fixedBytes: 2}, msgpcode.Uint32: {fixedBytes: 4}, msgpcode.Uint64: {fixedBytes: 8},
	msgpcode.Int8: {fixedBytes: 1}, msgpcode.Int16: {fixedBytes: 2}, msgpcode.Int32: {fixedBytes: 4}, msgpcode.Int64: {fixedBytes: 8},
	msgpcode.Str8: {lengthBytes: 1, bytesPerUnit: 1}, msgpcode.Str16: {lengthBytes: 2, bytesPerUnit: 1}, msgpcode.Str32: {lengthBytes: 4, bytesPerUnit: 1},
	msgpcode.Bin8: {lengthBytes: 1, bytesPerUnit: 1}, msgpcode.Bin16: {lengthBytes: 2, bytesPerUnit: 1}, msgpcode.Bin32: {lengthBytes: 4, bytesPerUnit: 1},
	msgpcode.Array16: {lengthBytes: 2, childrenPerUnit: 1}, msgpcode.Array32: {lengthBytes: 4, childrenPerUnit: 1},
	msgpcode.Map16: {lengthBytes: 2, childrenPerUnit: 2}, msgpcode.Map32: {lengthBytes: 4, childrenPerUnit: 2},
	msgpcode.FixExt1: {fixedBytes: extTypeBytes + 1}, msgpcode.FixExt2: {fixedBytes: extTypeBytes + 2}, msgpcode.FixExt4: {fixedBytes: extTypeBytes + 4},
	msgpcode.FixExt8: {fixedBytes: extTypeBytes + 8}, msgpcode.FixExt16: {fixedBytes: extTypeBytes + 16},
	msgpcode.Ext8: {lengthBytes: 1, bytesPerUnit: 1, fixedBytes: extTypeBytes}, msgpcode.Ext16: {lengthBytes: 2, bytesPerUnit: 1, fixedBytes: extTypeBytes},
	msgpcode.Ext32: {lengthBytes: 4, bytesPerUnit: 1, fixedBytes: extTypeBytes},
}

// readLength decodes a length in network byte order, zero if it has no bytes.
func readLength(encoded []byte) uint64 {
	switch len(encoded) {
	case 1:
		return uint64(encoded[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(encoded))
	case 4:
		return uint64(binary.BigEndian.Uint32(encoded))
	}
	return 0
}
