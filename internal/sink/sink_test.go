package sink

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// reader is an output that can stall.
type reader struct {
	mu     sync.Mutex
	writes [][]byte
	stall  chan struct{}
}

func (r *reader) Write(b []byte) (int, error) {
	if r.stall != nil {
		<-r.stall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, bytes.Clone(b))
	return len(b), nil
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(bytes.Join(r.writes, nil))
}

func sinkTest(t *testing.T, out *reader, test func(s *Sink)) {
	synctest.Test(t, func(t *testing.T) {
		s := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Serve(ctx)
		}()
		test(s)
		cancel()
		<-done
	})
}

func line(s *Sink, text string) { _, _ = s.Write([]byte(text + "\n")) }

// Lines go out whole, in order and in pieces that a pipe takes at once; the last ones
// when the process ends.
func TestSinkWritesWholeLines(t *testing.T) {
	out := &reader{}
	sinkTest(t, out, func(s *Sink) {
		for range 300 {
			line(s, strings.Repeat("x", 100))
		}
		line(s, strings.Repeat("y", 3*writeBytes))
		time.Sleep(time.Second)
		line(s, "last")
	})
	for _, w := range out.writes {
		if len(w) > writeBytes && !bytes.HasPrefix(w, []byte("y")) || w[len(w)-1] != '\n' {
			t.Errorf("a write of %d bytes ends with %q", len(w), w[len(w)-1])
		}
	}
	if n := strings.Count(out.text(), "\n"); n != 302 || !strings.HasSuffix(out.text(), "last\n") {
		t.Errorf("%d lines, want 302 with the last one", n)
	}
}

// Whoever reads the output stalls. Requests must not wait for their log lines, and
// memory is bounded; how many lines are missing is told.
func TestSinkDoesNotBlock(t *testing.T) {
	out := &reader{}
	sinkTest(t, out, func(s *Sink) {
		// Made here, so that waiting for it lets the fake clock go on.
		out.stall = make(chan struct{})
		line(s, "first")
		time.Sleep(time.Second)
		for range 2 * sinkBytes / 100 {
			line(s, strings.Repeat("x", 99))
		}
		if s.lines.Len() > sinkBytes {
			t.Errorf("%d bytes wait", s.lines.Len())
		}
		close(out.stall)
		time.Sleep(time.Second)
	})
	if !strings.Contains(out.text(), `"event":813`) {
		t.Error("the dropped lines are not told")
	}
}
