package lease

import "github.com/cespare/xxhash/v2"

// Text is what a task is to run, as its caller sent it for the whole job.
type Text struct {
	Spec string
	// Sum is computed where the caller's request is read, and checked where the worker is
	// told to start. In between the text passes through messages and stored state, and an
	// order may wait and be sent again.
	Sum Sum
}

// Sum is a checksum of a job's id and its text. That of an empty text is not 0, so an
// order that has lost both its text and its sum is detected too.
type Sum uint64

// NewText returns a job's text with its checksum.
func NewText(job, spec string) Text { return Text{Spec: spec, Sum: checksum(job, spec)} }

// matches reports whether the text is the one that the job's caller sent.
func (t Text) matches(job string) bool { return checksum(job, t.Spec) == t.Sum }

func checksum(job, spec string) Sum {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(job)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(spec)
	return Sum(d.Sum64())
}
