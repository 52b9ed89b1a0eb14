package lease

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Task identifies a task: its job, the occurrence, the step and the index in the step,
// separated by dots.
type Task string

// Job returns the id of the task's job: the part before the first dot.
func (t Task) Job() string {
	job, _, _ := strings.Cut(string(t), ".")
	return job
}

// Step returns the name of the task's step: the part before the last dot.
func (t Task) Step() string {
	if i := strings.LastIndexByte(string(t), '.'); i >= 0 {
		return string(t[:i])
	}
	return string(t)
}

// Place returns the step and the index in the step; ok is false if the name has none.
func (t Task) Place() (step, index int, ok bool) {
	rest, last, ok := cutLast(string(t))
	if !ok {
		return 0, 0, false
	}
	_, first, ok := cutLast(rest)
	if !ok {
		return 0, 0, false
	}
	step, err := strconv.Atoi(first)
	if err != nil || step < 0 {
		return 0, 0, false
	}
	index, err = strconv.Atoi(last)
	return step, index, err == nil && index >= 0
}

// cutLast cuts s around the last dot.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// The forms of a task's name in messages between processes.
const (
	plainTask = iota
	compactTask
)

// compactJobBytes is the length of a job's id in the compact form.
const compactJobBytes = 8

// occurrenceInfix separates the job from the step; jobs have one occurrence.
const occurrenceInfix = ".0."

// MarshalBinary encodes the name for messages between processes. A job's id of 16
// hexadecimal digits takes half as many bytes, which makes 11 bytes of the usual 22; the
// planner receives and sends some five names for each task.
func (t Task) MarshalBinary() ([]byte, error) {
	if b, ok := t.compact(); ok {
		return b, nil
	}
	return append([]byte{plainTask}, t...), nil
}

func (t Task) compact() ([]byte, bool) {
	job, rest, ok := strings.Cut(string(t), occurrenceInfix)
	if !ok || len(job) != 2*compactJobBytes || strings.ToLower(job) != job {
		return nil, false
	}
	step, index, ok := strings.Cut(rest, ".")
	s, err := strconv.ParseUint(step, 10, 32)
	if !ok || err != nil || strconv.FormatUint(s, 10) != step {
		return nil, false
	}
	i, err := strconv.ParseUint(index, 10, 32)
	if err != nil || strconv.FormatUint(i, 10) != index {
		return nil, false
	}
	b, err := hex.AppendDecode([]byte{compactTask}, []byte(job))
	if err != nil {
		return nil, false
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, s), i), true
}

var errInvalidTask = errors.New("lease: invalid encoding of a task's name")

// UnmarshalBinary decodes what MarshalBinary returned.
func (t *Task) UnmarshalBinary(b []byte) error {
	switch {
	case len(b) == 0:
		return errInvalidTask
	case b[0] == plainTask:
		*t = Task(b[1:])
		return nil
	case b[0] != compactTask || len(b) < 1+compactJobBytes:
		return errInvalidTask
	}
	job, rest := b[1:1+compactJobBytes], b[1+compactJobBytes:]
	step, n := binary.Uvarint(rest)
	if n <= 0 {
		return errInvalidTask
	}
	index, m := binary.Uvarint(rest[n:])
	if m <= 0 || n+m != len(rest) {
		return errInvalidTask
	}
	name := hex.AppendEncode(make([]byte, 0, 32), job)
	name = append(name, occurrenceInfix...)
	name = append(strconv.AppendUint(name, step, 10), '.')
	*t = Task(strconv.AppendUint(name, index, 10))
	return nil
}
