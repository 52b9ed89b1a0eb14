package lease

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Task names a task: its job, the occurrence, the step and the place in it, with dots
// between them.
type Task string

// Job returns the name of the task's job: what comes before its first dot.
func (t Task) Job() string {
	job, _, _ := strings.Cut(string(t), ".")
	return job
}

// Step returns the name of the task's step: what comes before its last dot.
func (t Task) Step() string {
	if i := strings.LastIndexByte(string(t), '.'); i >= 0 {
		return string(t[:i])
	}
	return string(t)
}

// The forms of a task's name in messages between processes.
const (
	plainTask = iota
	packedTask
)

// jobBytes is the length of a job's name in the packed form.
const jobBytes = 8

// occurrence is what stands between the job and the step; jobs have one occurrence.
const occurrence = ".0."

// MarshalBinary writes the name for messages between processes. A job of 16 hexadecimal
// digits takes half, which makes 11 bytes of the usual 22; the planner takes in and gives
// out some five names for each task.
func (t Task) MarshalBinary() ([]byte, error) {
	if b, ok := t.pack(); ok {
		return b, nil
	}
	return append([]byte{plainTask}, t...), nil
}

func (t Task) pack() ([]byte, bool) {
	job, place, ok := strings.Cut(string(t), occurrence)
	if !ok || len(job) != 2*jobBytes || strings.ToLower(job) != job {
		return nil, false
	}
	step, index, ok := strings.Cut(place, ".")
	s, err := strconv.ParseUint(step, 10, 32)
	if !ok || err != nil || strconv.FormatUint(s, 10) != step {
		return nil, false
	}
	i, err := strconv.ParseUint(index, 10, 32)
	if err != nil || strconv.FormatUint(i, 10) != index {
		return nil, false
	}
	b, err := hex.AppendDecode([]byte{packedTask}, []byte(job))
	if err != nil {
		return nil, false
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, s), i), true
}

var errTask = errors.New("lease: name of a task can't be read")

// UnmarshalBinary reads what MarshalBinary wrote.
func (t *Task) UnmarshalBinary(b []byte) error {
	switch {
	case len(b) == 0:
		return errTask
	case b[0] == plainTask:
		*t = Task(b[1:])
		return nil
	case b[0] != packedTask || len(b) < 1+jobBytes:
		return errTask
	}
	job, rest := b[1:1+jobBytes], b[1+jobBytes:]
	step, n := binary.Uvarint(rest)
	if n <= 0 {
		return errTask
	}
	index, m := binary.Uvarint(rest[n:])
	if m <= 0 || n+m != len(rest) {
		return errTask
	}
	name := hex.AppendEncode(make([]byte, 0, 32), job)
	name = append(name, occurrence...)
	name = append(strconv.AppendUint(name, step, 10), '.')
	*t = Task(strconv.AppendUint(name, index, 10))
	return nil
}
