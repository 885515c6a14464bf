package store

import (
	"encoding/json"
	"strconv"

	"cedardoor/wire"
)

// separatorBytes is the size of a separator in the JSON form, with the space that some encoders add.
const separatorBytes = 2

// escapedBytes is the size of an escaped character in the JSON form.
const escapedBytes = 6

// JSONSize returns the size of the record in the JSON form, by which the state service limits values,
// with a space after each separator.
func (record ChunkRecord) JSONSize() int {
	n := len(`{"w": , "d": , "h": [], "r": []}`) + textSize(record.Nonce) + textSize(record.Done)
	for _, machine := range record.Machines {
		n += textSize(machine) + separatorBytes
	}
	for _, row := range record.Attempts {
		n += len("[]") + separatorBytes
		for _, column := range row {
			n += integerSize(column) + separatorBytes
		}
	}
	if record.Part != nil {
		n += len(`, "p": {"n": , "d": }`) + integerSize(int64(record.Part.Tasks)) + textSize(record.Part.Done)
	}
	return n
}

// JSONSize returns the size of the record in the JSON form, with a space after each separator.
func (record SharedRecord) JSONSize() int {
	n := len(`{"w": , "r": []}`) + textSize(record.Nonce)
	for _, row := range record.Rows {
		n += row.JSONSize()
	}
	return n
}

// JSONSize returns the size of the row in the JSON form, with a space after each separator.
func (row SharedRow) JSONSize() int {
	return len(`{"u": , "t": , "h": , "s": }`) + separatorBytes + textSize(row.UID) + unsignedSize(row.Attempt) +
		textSize(row.Machine) + unsignedSize(row.Incarnation)
}

// JSONSize returns the size of the record in the JSON form, with a space after each separator.
func (record DemandRecord) JSONSize() int {
	n := len(`{"c": , "r": , "a": , "l": null}`)
	for _, amount := range []float64{record.Cores, record.RAM, record.Accelerators} {
		n += len(strconv.FormatFloat(amount, 'g', -1, 64))
	}
	for class, runs := range record.Classes {
		n += DemandClassSize(class, runs)
	}
	return n
}

// DemandClassSize returns the size of one class of a DemandRecord in the JSON form.
func DemandClassSize(class string, runs [2]int64) int {
	return len(`: [, ]`) + separatorBytes + textSize(class) + integerSize(runs[0]) + integerSize(runs[1])
}

// ValueSize returns the size of any value in the JSON form, without spaces. It returns zero if the value
// can't be encoded.
func ValueSize(value any) int {
	raw, err := wire.Marshal(value)
	if err != nil {
		return 0
	}
	var decoded any
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		return 0
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// textSize returns the size of a text with its quotes.
func textSize(text string) int {
	n := len(`""`)
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			n += escapedBytes
		default:
			n++
		}
	}
	return n
}

// integerSize returns the number of characters of an integer.
func integerSize(n int64) int {
	if n < 0 {
		return 1 + unsignedSize(uint64(-n))
	}
	return unsignedSize(uint64(n))
}

// unsignedSize returns the number of digits of an integer.
func unsignedSize(n uint64) (digits int) {
	for digits = 1; n >= 10; n /= 10 {
		digits++
	}
	return digits
}
