// Package hand extends share by handing waiting tasks over to peers with free slots, in
// batches. A large job may need more connections than one dispatcher has, and all jobs of
// a caller may arrive at the same dispatcher.
package hand

import "snipehub.example/dispatch/policy/share"

// Policy implements policy.Policy.
type Policy struct{ share.Policy }

// HandsOver returns true.
func (Policy) HandsOver() bool { return true }
