package wire

import (
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxMachineTypes     = 1000 // per job
	maxNameBytes        = 256
	maxMachineTypeBytes = 2048 // total size of a job's machine types
)

// specField defines a field of a submission and how it is decoded.
type specField struct {
	key      string
	optional bool
	decode   func(spec *Spec, d *msgpack.Decoder) error
}

// specFields defines all fields of a submission.
var specFields = []specField{
	{key: "uid", decode: textOf(func(s *Spec) *string { return &s.UID })},
	{key: "lane", decode: textOf(func(s *Spec) *string { return &s.Class })},
	{key: "owner", decode: textOf(func(s *Spec) *string { return &s.Team })},
	{key: "shape", decode: textOf(func(s *Spec) *string { return &s.Kind })},
	{key: "rank", decode: textOf(func(s *Spec) *string { return &s.Priority })},
	{key: "pieces", decode: decodeTaskCount},
	{key: "cores", decode: amountOf(func(s *Spec) *float64 { return &s.Cores })},
	{key: "accelerators", decode: amountOf(func(s *Spec) *float64 { return &s.Accelerators })},
	{key: "ram_gb", decode: amountOf(func(s *Spec) *float64 { return &s.RAM })},
	{key: "bundle", decode: textOf(func(s *Spec) *string { return &s.Image })},
	{key: "image_gb", decode: amountOf(func(s *Spec) *float64 { return &s.ImageGB })},
	{key: "builds", optional: true, decode: decodeMachineTypes},
	{key: "yard", optional: true, decode: decodeZone},
	{key: "same_place", decode: boolOf(func(s *Spec) *bool { return &s.SameZone })},
	{key: "apart", decode: boolOf(func(s *Spec) *bool { return &s.Spread })},
	{key: "loaned", decode: boolOf(func(s *Spec) *bool { return &s.Preemptible })},
	{key: "expect_s", decode: amountOf(func(s *Spec) *float64 { return &s.ExpectedS })},
	{key: "bookmark_s", decode: amountOf(func(s *Spec) *float64 { return &s.CheckpointIntervalS })},
	{key: "stow_s", decode: amountOf(func(s *Spec) *float64 { return &s.CheckpointGraceS })},
	{key: "due_s", optional: true, decode: decodeDeadline},
}

// DecodeSpec decodes and validates a submission. All its errors wrap ErrMalformed.
func DecodeSpec(body []byte) (Spec, error) {
	var spec Spec
	found := make([]bool, len(specFields))
	err := decodeFields(body, func(d *fieldDecoder, key []byte) error {
		for i := range specFields {
			if specFields[i].key == string(key) {
				found[i] = true
				return specFields[i].decode(&spec, d.Decoder)
			}
		}
		return d.skip()
	})
	if err != nil {
		return Spec{}, err
	}
	for i := range specFields {
		if !found[i] && !specFields[i].optional {
			return Spec{}, fmt.Errorf("%w: field %s is missing", ErrMalformed, specFields[i].key)
		}
	}
	if err := spec.validate(); err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return spec, nil
}

// DecodeUID decodes only the id of a submission, so that a repeated submission is recognized even if
// its other fields are invalid. It returns an empty string if there is no valid id.
func DecodeUID(body []byte) string {
	var uid string
	// The error is ignored, because the id may have been decoded before it occurred.
	_ = decodeFields(body, func(d *fieldDecoder, key []byte) (err error) {
		if string(key) != "uid" {
			return d.skip()
		}
		uid, err = decodeText(d.Decoder)
		return err
	})
	if !ValidUID(uid) {
		return ""
	}
	return uid
}

// validate checks what the decoding of individual fields does not.
func (s *Spec) validate() error {
	_, knownPriority := ParsePriority(s.Priority)
	switch {
	case !ValidUID(s.UID):
		return errors.New("uid: not a job id")
	case s.Kind != KindBatch && s.Kind != KindService && s.Kind != KindGang:
		return errors.New("shape: unknown")
	case !knownPriority:
		return errors.New("rank: unknown")
	case s.Class == "" || s.Team == "" || s.Image == "":
		return errors.New("an empty lane, owner or bundle")
	case max(len(s.Class), len(s.Team), len(s.Image), len(s.Zone)) > maxNameBytes || listBytes(s.MachineTypes) > maxMachineTypeBytes:
		return errors.New("a name is too long")
	case s.Cores == 0 && s.RAM == 0 && s.Accelerators == 0:
		return errors.New("a task that takes nothing")
	}
	return nil
}

// listBytes returns the total size of a list of names, each with a separator.
func listBytes(names []string) int {
	n := 0
	for _, name := range names {
		n += len(name) + 1
	}
	return n
}

func textOf(field func(*Spec) *string) func(*Spec, *msgpack.Decoder) error {
	return func(s *Spec, d *msgpack.Decoder) (err error) {
		*field(s), err = decodeText(d)
		return err
	}
}

func amountOf(field func(*Spec) *float64) func(*Spec, *msgpack.Decoder) error {
	return func(s *Spec, d *msgpack.Decoder) (err error) {
		*field(s), err = decodeAmount(d)
		return err
	}
}

func boolOf(field func(*Spec) *bool) func(*Spec, *msgpack.Decoder) error {
	return func(s *Spec, d *msgpack.Decoder) (err error) {
		*field(s), err = decodeBool(d)
		return err
	}
}

func decodeTaskCount(s *Spec, d *msgpack.Decoder) error {
	count, err := decodeAmount(d)
	if err != nil {
		return err
	}
	if count != math.Trunc(count) || count < 1 || count > MaxTasks {
		return fmt.Errorf("not a whole number from 1 to %d", MaxTasks)
	}
	s.Tasks = int(count)
	return nil
}

func decodeZone(s *Spec, d *msgpack.Decoder) error {
	if isNull, err := decodeNull(d); isNull || err != nil {
		return err
	}
	zone, err := decodeText(d)
	if err == nil && zone == "" {
		err = errors.New("empty")
	}
	s.Zone = zone
	return err
}

func decodeDeadline(s *Spec, d *msgpack.Decoder) error {
	deadline, err := decodeOptionalAmount(d)
	if deadline != nil {
		s.DeadlineS = deadline
	}
	return err
}

func decodeMachineTypes(s *Spec, d *msgpack.Decoder) error {
	if isNull, err := decodeNull(d); isNull || err != nil {
		return err
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > maxMachineTypes {
		return errors.New("not a list of types")
	}
	s.MachineTypes = make([]string, 0, n)
	for range n {
		machineType, err := decodeText(d)
		if err != nil {
			return err
		}
		s.MachineTypes = append(s.MachineTypes, machineType)
	}
	return nil
}
