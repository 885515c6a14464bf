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

// ErrMalformed marks a body that is not what the protocol asks for.
var ErrMalformed = errors.New("malformed")

// Marshal encodes a body.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes a body whose unknown fields are ignored; bytes after it are an error.
func Unmarshal(body []byte, v any) error {
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Len() != 0 {
		return fmt.Errorf("%w: bytes after the body", ErrMalformed)
	}
	return nil
}

// value is the value of a field that is being walked over.
type value struct {
	*msgpack.Decoder
	in   bytes.Reader // what the decoder reads: it takes no more than it decodes
	body []byte
	key  [32]byte // the field's name, where it is short
}

// values are kept to be used again: every report is one.
var values = sync.Pool{New: func() any { return &value{Decoder: msgpack.NewDecoder(nil)} }}

// name reads a field's name, which is valid until the next.
func (v *value) name() ([]byte, error) {
	n, err := v.DecodeBytesLen()
	if err != nil || n > v.in.Len() {
		return nil, errors.New("not text")
	}
	key := v.key[:]
	if n > len(key) {
		key = make([]byte, n)
	}
	key = key[:max(0, n)]
	return key, v.ReadFull(key)
}

// raw steps over the value and gives its bytes, which are the body's own.
func (v *value) raw() ([]byte, error) {
	from := len(v.body) - v.in.Len()
	err := v.Skip()
	return v.body[from : len(v.body)-v.in.Len()], err
}

// fields walks a map body and calls f for each key; f decodes the value or skips it.
func fields(body []byte, f func(dec *value, key []byte) error) error {
	dec := values.Get().(*value)
	defer func() {
		dec.in.Reset(nil)
		dec.body = nil
		values.Put(dec)
	}()
	dec.body = body
	dec.in.Reset(body)
	dec.Reset(&dec.in)
	n, err := dec.DecodeMapLen()
	if err != nil || n < 0 {
		return fmt.Errorf("%w: not a map", ErrMalformed)
	}
	for range n {
		key, err := dec.name()
		if err != nil {
			return fmt.Errorf("%w: a key is not text", ErrMalformed)
		}
		if err := f(dec, key); err != nil {
			return fmt.Errorf("%w: field %s: %w", ErrMalformed, key, err)
		}
	}
	if _, err := dec.PeekCode(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: bytes after the body", ErrMalformed)
	}
	return nil
}

// null consumes a null, if the next value is one.
func null(dec *msgpack.Decoder) (bool, error) {
	c, err := dec.PeekCode()
	if err != nil {
		return false, err
	}
	if c != msgpcode.Nil {
		return false, nil
	}
	return true, dec.DecodeNil()
}

func text(dec *msgpack.Decoder) (string, error) {
	c, err := dec.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(c) {
		return "", errors.New("not text")
	}
	return dec.DecodeString()
}

func flag(dec *msgpack.Decoder) (bool, error) {
	c, err := dec.PeekCode()
	if err != nil {
		return false, err
	}
	if c != msgpcode.True && c != msgpcode.False {
		return false, errors.New("not true or false")
	}
	return dec.DecodeBool()
}

// amount decodes a finite number that is not negative.
func amount(dec *msgpack.Decoder) (float64, error) {
	c, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	if c == msgpcode.Nil || c == msgpcode.True || c == msgpcode.False || msgpcode.IsString(c) {
		return 0, errors.New("not a number")
	}
	v, err := dec.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, errors.New("negative or not finite")
	}
	return v, nil
}

// UIDOf reads only the id of a submission, so that a known job can be
// recognised whatever else its repeat holds.
func UIDOf(body []byte) string {
	var uid string
	_ = fields(body, func(dec *value, key []byte) error {
		if string(key) != "uid" {
			return dec.Skip()
		}
		var err error
		uid, err = text(dec.Decoder)
		return err
	})
	if !ValidUID(uid) {
		return ""
	}
	return uid
}

// DecodeSpec reads a submission field by field; a missing or invalid field is ErrMalformed.
func DecodeSpec(body []byte) (Spec, error) {
	var s Spec
	seen := map[string]bool{}
	str := func(dst *string) func(*msgpack.Decoder) error {
		return func(d *msgpack.Decoder) (err error) { *dst, err = text(d); return err }
	}
	num := func(dst *float64) func(*msgpack.Decoder) error {
		return func(d *msgpack.Decoder) (err error) { *dst, err = amount(d); return err }
	}
	yes := func(dst *bool) func(*msgpack.Decoder) error {
		return func(d *msgpack.Decoder) (err error) { *dst, err = flag(d); return err }
	}
	readers := map[string]func(*msgpack.Decoder) error{
		"uid": str(&s.UID), "lane": str(&s.Class), "owner": str(&s.Team), "shape": str(&s.Kind),
		"rank": str(&s.Priority), "bundle": str(&s.Image),
		"cores": num(&s.Cores), "accelerators": num(&s.Accelerators), "ram_gb": num(&s.RAM),
		"image_gb": num(&s.ImageGB), "expect_s": num(&s.ExpectedS),
		"bookmark_s": num(&s.CheckpointIntervalS), "stow_s": num(&s.CheckpointGraceS),
		"same_place": yes(&s.SameZone), "apart": yes(&s.Spread), "loaned": yes(&s.Preemptible),
		"pieces": func(d *msgpack.Decoder) error {
			v, err := amount(d)
			if err != nil {
				return err
			}
			if v != math.Trunc(v) || v < 1 || v > MaxTasks {
				return errors.New("not a whole number from 1 to 100000")
			}
			s.Tasks = int(v)
			return nil
		},
		"yard": func(d *msgpack.Decoder) error {
			if isNull, err := null(d); isNull || err != nil {
				return err
			}
			v, err := text(d)
			if err == nil && v == "" {
				err = errors.New("empty")
			}
			s.Zone = v
			return err
		},
		"due_s": func(d *msgpack.Decoder) error {
			if isNull, err := null(d); isNull || err != nil {
				return err
			}
			v, err := amount(d)
			s.DeadlineS = &v
			return err
		},
		"builds": func(d *msgpack.Decoder) error {
			if isNull, err := null(d); isNull || err != nil {
				return err
			}
			n, err := d.DecodeArrayLen()
			if err != nil {
				return err
			}
			if n < 0 || n > 1000 {
				return errors.New("not a list of types")
			}
			s.MachineTypes = make([]string, 0, n)
			for range n {
				b, err := text(d)
				if err != nil {
					return err
				}
				s.MachineTypes = append(s.MachineTypes, b)
			}
			return nil
		},
	}
	err := fields(body, func(dec *value, key []byte) error {
		read, known := readers[string(key)]
		if !known {
			return dec.Skip()
		}
		seen[string(key)] = true
		return read(dec.Decoder)
	})
	if err != nil {
		return Spec{}, err
	}
	for key := range readers {
		if !seen[key] && key != "yard" && key != "due_s" && key != "builds" {
			return Spec{}, fmt.Errorf("%w: field %s is missing", ErrMalformed, key)
		}
	}
	_, ranked := ParsePriority(s.Priority)
	switch {
	case !ValidUID(s.UID):
		err = errors.New("uid: not a job id")
	case s.Kind != KindBatch && s.Kind != KindService && s.Kind != KindGang:
		err = errors.New("shape: unknown")
	case !ranked:
		err = errors.New("rank: unknown")
	case s.Class == "" || s.Team == "" || s.Image == "":
		err = errors.New("an empty lane, owner or bundle")
	case len(s.Class) > 256 || len(s.Team) > 256 || len(s.Image) > 256 || len(s.Zone) > 256 || listBytes(s.MachineTypes) > 2048:
		err = errors.New("a name is too long")
	case s.Cores == 0 && s.RAM == 0 && s.Accelerators == 0:
		err = errors.New("a task that takes nothing")
	}
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s, nil
}

func listBytes(list []string) int {
	n := 0
	for _, s := range list {
		n += len(s) + 1
	}
	return n
}

// DecodeHeartbeat reads a worker's report and checks what the fleet relies on. The
// task list is kept as it came, a part of body, for DecodePieces.
func DecodeHeartbeat(body []byte) (Heartbeat, error) {
	var b Heartbeat
	err := fields(body, func(dec *value, key []byte) (err error) {
		switch string(key) {
		case "host":
			b.Machine, err = text(dec.Decoder)
		case "endpoint":
			b.Endpoint, err = text(dec.Decoder)
		case "build":
			b.MachineType, err = text(dec.Decoder)
		case "yard":
			b.Zone, err = text(dec.Decoder)
		case "loaned":
			b.Preemptible, err = flag(dec.Decoder)
		case "tenure":
			b.Incarnation, err = dec.DecodeUint64()
		case "tally":
			b.Sequence, err = dec.DecodeUint64()
		case "warrant":
			b.Token, err = dec.DecodeUint64()
		case "warning_s":
			var isNull bool
			if isNull, err = null(dec.Decoder); err == nil && !isNull {
				var v float64
				v, err = amount(dec.Decoder)
				b.WarningS = &v
			}
		case "pieces":
			b.RawTasks, err = dec.raw()
		default:
			err = dec.Skip()
		}
		return err
	})
	if err != nil {
		return Heartbeat{}, err
	}
	if b.Machine == "" || len(b.Machine) > 128 || b.Incarnation == 0 || b.Endpoint == "" || b.MachineType == "" || b.Zone == "" {
		return Heartbeat{}, fmt.Errorf("%w: a report without host, endpoint, build, yard or tenure", ErrMalformed)
	}
	return b, nil
}

// DecodeTasks reads the task list of a report that DecodeBeat has read. A
// report made otherwise has its list already.
func (b *Heartbeat) DecodeTasks() error {
	if b.Tasks != nil || len(b.RawTasks) == 0 {
		return nil
	}
	var list []TaskReport
	if err := Unmarshal(b.RawTasks, &list); err != nil {
		return err
	}
	for _, p := range list {
		if p.Task == "" {
			return fmt.Errorf("%w: a task without a name", ErrMalformed)
		}
		switch p.Status {
		case TaskFetching, TaskGathering, TaskRunning, TaskFlushing, TaskEnded:
		default:
			return fmt.Errorf("%w: task state %q", ErrMalformed, p.Status)
		}
	}
	b.Tasks = list
	return nil
}
