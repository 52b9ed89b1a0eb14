// Package hand is share, with waiting tasks handed over in batches to peers
// that have room: a large job outgrows the connections of one dispatcher, and
// a caller's jobs may all come in over one.
package hand

import "snipehub.example/dispatch/policy/share"

// Policy is the policy.
type Policy struct{ share.Policy }

// HandsOver returns true.
func (Policy) HandsOver() bool { return true }
