// Package event holds the numbered log events of the system.
//
// Operators search logs and set alarms by number, so a number never changes
// its meaning and is never used again. Every event stands once in the table in
// table.go, and docs/EVENTS.md is held equal to that table by a test.
package event

import (
	"context"
	"log/slog"
)

// ID is the stable number of an event.
type ID int

// Entry describes one kind of event to operators.
type Entry struct {
	ID    ID
	Level slog.Level
	// Title is the message of the log line.
	Title string
	// Text tells what it means and what to do about it.
	Text string
	// Since is the first version that logs the event.
	Since string
}

// Find returns the entry of an event, or false when the number is not in the
// table.
func Find(id ID) (Entry, bool) {
	e, ok := index[id]
	return e, ok
}

// All returns every entry, in the order of the numbers.
func All() []Entry {
	return append([]Entry(nil), table...)
}

// Log writes the event to log, with its number as the attribute "event". Errors
// are written as one line; slog would add their stack traces.
func (id ID) Log(log *slog.Logger, args ...any) {
	e, ok := index[id]
	if !ok {
		e = Entry{Level: slog.LevelError, Title: "event without an entry"}
	}
	for i, a := range args {
		if err, ok := a.(error); ok {
			args[i] = err.Error()
		}
	}
	log.Log(context.Background(), e.Level, e.Title, append([]any{"event", int(id)}, args...)...)
}

var index = func() map[ID]Entry {
	m := make(map[ID]Entry, len(table))
	for _, e := range table {
		m[e.ID] = e
	}
	return m
}()
