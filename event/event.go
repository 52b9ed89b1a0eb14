// Package event defines the numbered log events of the system.
//
// Operators search logs and set alarms by number, so a number never changes its meaning
// and is never reused. Every event has one entry in the table in table.go; a test keeps
// docs/EVENTS.md equal to that table.
package event

import (
	"context"
	"log/slog"
)

// ID is the stable number of an event.
type ID int

// Entry describes an event to operators.
type Entry struct {
	ID    ID
	Level slog.Level
	// Title is the message of the log line.
	Title string
	// Text explains the event and what to do about it.
	Text string
	// Since is the first version that logs the event.
	Since string
}

// Find returns the entry of an event, or false if the number is not in the table.
func Find(id ID) (Entry, bool) {
	e, ok := index[id]
	return e, ok
}

// All returns all entries, sorted by number.
func All() []Entry {
	return append([]Entry(nil), table...)
}

// Log writes the event to log, with its number as the attribute "event". Errors are
// logged as their one-line text, because slog would add their stack traces.
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
