// Package sink takes a process's log lines and writes them without making anybody
// wait.
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
	// sinkBytes bounds the lines that wait to be written: some seconds of a busy
	// process.
	sinkBytes = 512 << 10
	// sinkEvery is how long lines wait, so that one write takes many of them. A
	// write for each line costs more processor time than the line.
	sinkEvery = 100 * time.Millisecond
	// writeBytes bounds one write. A pipe takes up to this many bytes as one
	// piece; of larger ones, parts can be mixed with those of others.
	writeBytes = 4096
)

// Sink writes log lines in a goroutine of its own. Whoever logs never waits: a
// reader of the output that stalls would else stall the requests. Lines that don't
// fit are dropped and counted.
type Sink struct {
	out io.Writer

	// wake tells that there are lines; a process that logs nothing needn't look.
	wake chan struct{}

	mu      sync.Mutex
	lines   bytes.Buffer
	dropped int
	// Dropped is told how many lines were dropped; nil for nobody. It is set
	// before Serve.
	Dropped func(lines int)
}

// New makes a sink that writes to out while Serve runs.
func New(out io.Writer) *Sink { return &Sink{out: out, wake: make(chan struct{}, 1)} }

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines.Len()+len(line) > sinkBytes {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return s.lines.Write(line)
}

// Serve writes until ctx ends, and then what is left.
func (s *Sink) Serve(ctx context.Context) error {
	defer s.flush()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		if !clock.Sleep(ctx, sinkEvery) {
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
		n := whole(lines)
		// An error here has nowhere to be logged to.
		_, _ = s.out.Write(lines[:n])
		lines = lines[n:]
	}
	if dropped > 0 {
		if s.Dropped != nil {
			s.Dropped(dropped)
		}
		event.LogLinesDropped.Log(slog.New(slog.NewJSONHandler(s.out, nil)), "lines", dropped)
	}
}

// whole returns the length of the first lines that fit into one write; a line that
// doesn't fit goes alone.
func whole(lines []byte) int {
	if len(lines) <= writeBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:writeBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}
