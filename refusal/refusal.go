// Package refusal holds every answer by which the system turns a caller away.
//
// The one thing that a caller must be able to trust in a refusal is whether
// its work has run. The table in table.go says so for each code, together with
// the identity to come back with. A refusal that says "not run" about an
// identity may be given only by the process that owns the identity, and burns
// it: see package ticket.
//
// Some codes are given before it is known who owns the identity that the
// request names: see AboutIdentity.
package refusal

import (
	"fmt"
	"time"
)

// Ran tells whether any of the caller's work was started.
type Ran string

// The three values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Again tells the caller which identity to come back with.
type Again string

// The values of Again.
const (
	// AgainSame means the same job id or key: the outcome is open.
	AgainSame Again = "same"
	// AgainNew means a new sequence or key: the old one never runs.
	AgainNew Again = "new"
	// AgainNever means that a repetition has the same result.
	AgainNever Again = "never"
)

// Code is the stable name of a refusal on the wire.
type Code string

// Entry describes one refusal to callers.
type Entry struct {
	Number int
	Code   Code
	Status int
	Ran    Ran
	Again  Again
	Title  string
	Text   string
	Since  string
}

// Refusal is a caller's request turned away. It is an error, and the body of
// the answer.
type Refusal struct {
	Code     Code   `json:"code"`
	Sentence string `json:"sentence"`
	Ran      Ran    `json:"ran"`
	Again    Again  `json:"again"`
	// RetryAfterMS is the time after which to come back, 0 when it does not
	// apply.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// New makes the refusal with the given code; detail ends its sentence.
func New(code Code, detail string) *Refusal {
	e := index[code]
	s := e.Title
	if detail != "" {
		s += ": " + detail
	}
	return &Refusal{Code: code, Sentence: s, Ran: e.Ran, Again: e.Again}
}

// After returns a copy of r that asks the caller to come back after d.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.RetryAfterMS = max(d.Milliseconds(), 1)
	return &c
}

// AboutIdentity returns r as it has to read when the request named an identity
// and was turned away before the identity's owner was asked. "Not run" is then
// true of this copy of the submission only; an earlier copy may be running, and
// a caller that took "not run" for the identity would order a second time.
func (r *Refusal) AboutIdentity() *Refusal {
	switch r.Code {
	case BadRequest, Unauthorized, TooLarge:
		c := *r
		c.Ran, c.Again = RanUnknown, AgainNever
		return &c
	case Busy, TooSlow, NoPath, NoMethod:
		c := *r
		c.Ran = RanUnknown
		if c.Again == AgainNew {
			c.Again = AgainSame
		}
		return &c
	}
	return r
}

// Error makes Refusal an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Sentence)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	e, ok := index[r.Code]
	if !ok {
		return 500
	}
	return e.Status
}

// Find returns the entry of a code.
func Find(code Code) (Entry, bool) {
	e, ok := index[code]
	return e, ok
}

// All returns the whole table, in the order of the numbers.
func All() []Entry {
	return append([]Entry(nil), table...)
}

var index = func() map[Code]Entry {
	m := make(map[Code]Entry, len(table))
	for _, e := range table {
		m[e.Code] = e
	}
	return m
}()
