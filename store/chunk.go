package store

import (
	"fmt"
	"strconv"
	"strings"
)

// TasksPerChunk is the maximum number of tasks in one record: in JSON form, 120 rows of up to
// about 30 bytes and as many machine names stay under 8 KiB. Where the state service accepts less, a
// chunk is divided, see ChunkPart.
const TasksPerChunk = 120

// partOfChunk stands in place of the bitmap in a record that holds only a part of its chunk. It is not a
// valid bitmap: a release that knows no parts finds the chunk's record damaged, and so neither takes the
// part for the whole chunk nor starts any of its tasks before it knows what runs on every machine.
const partOfChunk = "part"

// TaskAttempt is the recorded attempt of a task. An empty Machine means that the task is
// waiting.
type TaskAttempt struct {
	Index       int
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// ChunkRecord holds the attempts and results of up to TasksPerChunk tasks. The records of a chunk that is
// divided have a Part, each with the tasks from the one that its key names.
type ChunkRecord struct {
	Nonce string `msgpack:"w"`
	// Done is a bitmap of the done tasks in hexadecimal digits. The lowest bit of the
	// first digit stands for the first task.
	Done     string   `msgpack:"d"`
	Machines []string `msgpack:"h"`
	// Attempts has a row for each unfinished task with an attempt; see the columns below.
	Attempts [][]int64  `msgpack:"r"`
	Part     *ChunkPart `msgpack:"p,omitempty"`
}

// ChunkPart is what only the records of a divided chunk hold.
type ChunkPart struct {
	Tasks int    `msgpack:"n"` // how many tasks the record covers
	Done  string `msgpack:"d"` // the bitmap, in place of ChunkRecord.Done
}

// The columns of ChunkRecord.Attempts. The machine is an index into Machines, or
// noMachine for a task that is waiting after an attempt.
const (
	columnIndex = iota
	columnAttempt
	columnMachine
	columnIncarnation
	numColumns
)

// noMachine is the machine index of a waiting task.
const noMachine = -1

// tasksPerDigit is how many tasks a hexadecimal digit of the bitmap covers.
const tasksPerDigit = 4

// NewChunkRecord returns the record of a chunk. Indexes are relative to the chunk's first
// task.
func NewChunkRecord(nonce string, done []bool, attempts []TaskAttempt) ChunkRecord {
	record := ChunkRecord{Nonce: nonce, Done: encodeBitmap(done), Machines: []string{}, Attempts: make([][]int64, 0, len(attempts))}
	machineIndex := map[string]int64{"": noMachine}
	for _, attempt := range attempts {
		index, known := machineIndex[attempt.Machine]
		if !known {
			index = int64(len(record.Machines))
			machineIndex[attempt.Machine] = index
			record.Machines = append(record.Machines, attempt.Machine)
		}
		record.Attempts = append(record.Attempts, []int64{int64(attempt.Index), int64(attempt.Attempt), index, int64(attempt.Incarnation)})
	}
	return record
}

// NewPartRecord returns a record that holds only a part of a chunk, with as many tasks as done has entries.
// Indexes are relative to the part's first task.
func NewPartRecord(nonce string, done []bool, attempts []TaskAttempt) ChunkRecord {
	record := NewChunkRecord(nonce, done, attempts)
	record.Part = &ChunkPart{Tasks: len(done), Done: record.Done}
	record.Done = partOfChunk
	return record
}

// Decode is the inverse of NewChunkRecord and NewPartRecord. It fails if the record is not valid for n
// tasks, or holds a part of more than n.
func (record ChunkRecord) Decode(n int) (done []bool, attempts []TaskAttempt, err error) {
	bitmap := record.Done
	if part := record.Part; part != nil {
		if record.Done != partOfChunk || part.Tasks < 1 || part.Tasks > n {
			return nil, nil, fmt.Errorf("invalid part of a chunk: %d tasks", part.Tasks)
		}
		bitmap, n = part.Done, part.Tasks
	}
	done, err = decodeBitmap(bitmap, n)
	if err != nil {
		return nil, nil, err
	}
	for _, row := range record.Attempts {
		if !record.validRow(row, n) {
			return nil, nil, fmt.Errorf("invalid chunk row %v", row)
		}
		attempt := TaskAttempt{Index: int(row[columnIndex]), Attempt: uint64(row[columnAttempt]), Incarnation: uint64(row[columnIncarnation])}
		if machine := row[columnMachine]; machine != noMachine {
			attempt.Machine = record.Machines[machine]
		}
		attempts = append(attempts, attempt)
	}
	return done, attempts, nil
}

// validRow reports whether a row is valid in a chunk of n tasks.
func (record ChunkRecord) validRow(row []int64, n int) bool {
	return len(row) == numColumns &&
		row[columnIndex] >= 0 && row[columnIndex] < int64(n) &&
		row[columnAttempt] >= 0 &&
		row[columnMachine] >= noMachine && row[columnMachine] < int64(len(record.Machines)) &&
		row[columnIncarnation] >= 0
}

// encodeBitmap encodes the done tasks as a bitmap in hexadecimal digits.
func encodeBitmap(done []bool) string {
	var digits strings.Builder
	for i := 0; i < len(done); i += tasksPerDigit {
		digit := 0
		for bit := range tasksPerDigit {
			if i+bit < len(done) && done[i+bit] {
				digit |= 1 << bit
			}
		}
		digits.WriteString(strconv.FormatInt(int64(digit), 16))
	}
	return digits.String()
}

// decodeBitmap is the inverse of encodeBitmap, for up to n tasks.
func decodeBitmap(digits string, n int) ([]bool, error) {
	done := make([]bool, n)
	for i, c := range digits {
		digit, err := strconv.ParseInt(string(c), 16, 8)
		if err != nil {
			return nil, fmt.Errorf("invalid chunk bitmap: %w", err)
		}
		for bit := range tasksPerDigit {
			if digit&(1<<bit) == 0 {
				continue
			}
			task := i*tasksPerDigit + bit
			if task >= n {
				return nil, fmt.Errorf("invalid chunk bitmap: task index %d in a chunk of %d tasks", task, n)
			}
			done[task] = true
		}
	}
	return done, nil
}
