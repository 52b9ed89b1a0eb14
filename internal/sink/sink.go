// Package sink writes a process's log lines in the background, so that the goroutines
// that log never wait.
package sink

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"snipehub.example/clock"
	"snipehub.example/event"
)

const (
	// maxBufferedBytes bounds the lines that wait to be written: some seconds of a busy
	// process.
	maxBufferedBytes = 512 << 10
	// flushInterval is how long lines are collected for one write. A write for each line
	// would cost more processor time than producing the line.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes bounds one write. A pipe takes up to this many bytes atomically;
	// parts of larger writes can be mixed with those of other processes.
	maxWriteBytes = 4096
)

// Sink writes log lines in a goroutine of its own. A goroutine that logs never waits: a
// stalled reader of the output would otherwise stall the requests. Lines that don't fit
// into the buffer are dropped and counted.
type Sink struct {
	out io.Writer

	// pendingLines signals that there are lines to write; without lines Serve does not
	// wake up.
	pendingLines chan struct{}

	mu      sync.Mutex
	lines   bytes.Buffer
	dropped int
	// OnDropped is called with the number of dropped lines, unless it is nil. It is set
	// before Serve.
	OnDropped func(lines int)
}

// New returns a sink that writes to out while Serve runs.
func New(out io.Writer) *Sink { return &Sink{out: out, pendingLines: make(chan struct{}, 1)} }

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines.Len()+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.pendingLines <- struct{}{}:
	default:
	}
	return s.lines.Write(line)
}

// Serve writes lines until ctx ends, and then what is left.
func (s *Sink) Serve(ctx context.Context) error {
	defer s.flush()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.pendingLines:
		}
		if !clock.Sleep(ctx, flushInterval) {
			return ctx.Err()
		}
		s.flush()
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.lines.Bytes())
	s.lines.Reset()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	for len(lines) > 0 {
		n := wholeLinesLen(lines)
		// An error here can't be logged anywhere.
		_, _ = s.out.Write(lines[:n])
		lines = lines[n:]
	}
	if dropped > 0 {
		if s.OnDropped != nil {
			s.OnDropped(dropped)
		}
		event.LogLinesDropped.Log(slog.New(slog.NewJSONHandler(s.out, nil)), "lines", dropped)
	}
}

// wholeLinesLen returns the length of the first lines that together fit into one write. A
// line that doesn't fit is written alone.
func wholeLinesLen(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}
