package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, and keeps the broken rules.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	begun  time.Time
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, w: bufio.NewWriter(f), begun: time.Now()}, nil
}

// log writes a line with the time since the start in milliseconds.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *recorder) write(line string) {
	fmt.Fprintf(r.w, "%8d %s\n", time.Since(r.begun).Milliseconds(), line)
}

// breaks records that a rule was broken.
func (r *recorder) breaks(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, rule)
	r.write("BROKEN " + rule + ": " + fmt.Sprintf(format, args...))
}

// count returns how often a rule was broken.
func (r *recorder) count(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.broken {
		if b == rule {
			n++
		}
	}
	return n
}

// rules returns the rules that were broken, each once.
func (r *recorder) rules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.broken)
	slices.Sort(out)
	return slices.Compact(out)
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
