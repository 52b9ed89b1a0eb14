// Package refusal defines all refusals, the error answers of dispatchers to callers.
//
// A caller must be able to rely on what a refusal says about whether its work has run. The
// table in table.go defines this for each code, together with the identity to retry with.
// Only the process that owns an identity may give a refusal that says "not run" about it.
// The identity is burned by that: it never runs from then on. See package ticket.
//
// Some refusals are given before the owner of the identity that the request names is known:
// see ForNamedIdentity.
package refusal

import (
	"fmt"
	"time"
)

// Ran says whether any of the caller's work was started.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Again tells the caller which identity to retry with.
type Again string

// The values of Again.
const (
	// AgainSame means the same job id or key: the outcome is unknown.
	AgainSame Again = "same"
	// AgainNew means a new sequence or key: the old one never runs.
	AgainNew Again = "new"
	// AgainNever means that a retry would have the same result.
	AgainNever Again = "never"
)

// Code is the stable identifier of a refusal on the wire.
type Code string

// Definition defines one refusal and documents it for callers. Title is the Sentence of the
// refusal, to which details may be appended. Text explains it further in docs/REFUSALS.md.
type Definition struct {
	Number int
	Code   Code
	Status int
	Ran    Ran
	Again  Again
	Title  string
	Text   string
	Since  string
}

// Refusal is the answer to a request that is refused. It is an error, and is encoded as the
// body of the HTTP answer.
type Refusal struct {
	Code     Code   `json:"code"`
	Sentence string `json:"sentence"`
	Ran      Ran    `json:"ran"`
	Again    Again  `json:"again"`
	// RetryAfterMS is the minimum time before a retry, 0 if none is given.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// New returns the refusal with the given code. A detail that is not empty is appended to
// its sentence.
func New(code Code, detail string) *Refusal {
	e := definitionByCode[code]
	s := e.Title
	if detail != "" {
		s += ": " + detail
	}
	return &Refusal{Code: code, Sentence: s, Ran: e.Ran, Again: e.Again}
}

// WithRetryAfter returns a copy of r that asks the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfterMS = max(d.Milliseconds(), 1)
	return &c
}

// ForNamedIdentity returns r, or a changed copy, as it must read if the request names an
// identity and was refused before the identity's owner was asked. "Not run" would then hold
// only for this copy of the submission. An earlier copy may be running, and a caller that
// took "not run" to hold for the identity would order a second time.
func (r *Refusal) ForNamedIdentity() *Refusal {
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

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Sentence)
}

// Status returns the HTTP status of the refusal, 500 for an unknown code.
func (r *Refusal) Status() int {
	e, ok := definitionByCode[r.Code]
	if !ok {
		return 500
	}
	return e.Status
}

// Find returns the definition of a code, and whether there is one.
func Find(code Code) (Definition, bool) {
	e, ok := definitionByCode[code]
	return e, ok
}

// All returns a copy of the table, in the order of the numbers.
func All() []Definition {
	return append([]Definition(nil), table...)
}

var definitionByCode = func() map[Code]Definition {
	m := make(map[Code]Definition, len(table))
	for _, e := range table {
		m[e.Code] = e
	}
	return m
}()
