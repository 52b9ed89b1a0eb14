// Package claim lets callers bring identities of their own.
//
// A key is a UUIDv7 in the Idempotency-Key header. It names no owner, so the
// dispatchers agree on one through the platform's log: whoever gets a key
// reserves an identity of its own, appends "this key stands for this identity"
// to a stream, and reads the stream. The first claim of a key in the order of
// the offsets wins; everybody reads the same order, so everybody comes to the
// same identity and forwards to its owner. A process that is paused or cut off
// can't win late, because it reads the earlier claim first.
//
// The log forgets. A reader that has not seen everything since a key was made
// can't know that the claim it reads is the first, and refuses the key as
// "outcome unknown". The time stamp of the UUIDv7 tells when that was, give or
// take the clocks: see Book.
//
// The price is an append and a read for each batch of keys, and an outage of
// the log refuses new keys. Tickets have neither; see package ticket.
package claim

import (
	"encoding/json"
	"time"
	"unique"

	"github.com/google/uuid"

	"snipehub.example/ticket"
)

// Stream is the name of the stream on the log.
const Stream = "claims"

// MaxBatch is how many claims go into one record.
const MaxBatch = 256

// Name is a caller's own key. Keys of two callers have nothing to do with each
// other.
type Name struct {
	Caller string
	Key    uuid.UUID
}

// Claim says that a key stands for an identity.
type Claim struct {
	Name Name
	ID   ticket.JobID
}

// wireClaim is a claim on the log.
type wireClaim struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	ID     string `json:"id"`
}

// wireRecord is a record of the stream. One without claims only keeps the
// stream from being forgotten altogether.
type wireRecord struct {
	Claims []wireClaim `json:"claims,omitempty"`
}

// Encode writes a record of the stream.
func Encode(claims []Claim) ([]byte, error) {
	var r wireRecord
	for _, c := range claims {
		r.Claims = append(r.Claims, wireClaim{c.Name.Caller, c.Name.Key.String(), c.ID.String()})
	}
	return json.Marshal(r)
}

// Decode reads a record of the stream. What can't be read is passed over, by
// every reader alike: two readers that differed here could both take their own
// claim for the first.
func Decode(b []byte) []Claim {
	var r wireRecord
	if json.Unmarshal(b, &r) != nil {
		return nil
	}
	var out []Claim
	for _, c := range r.Claims {
		key, ok := ParseKey(c.Key)
		id, err := ticket.ParseJobID(c.ID)
		if ok && err == nil && c.Caller != "" {
			out = append(out, Claim{Name{intern(c.Caller), key}, internID(id)})
		}
	}
	return out
}

// intern returns one copy of equal texts. A book holds many claims of few
// callers and owners, whose names would be a fifth of its memory (BenchmarkTake).
func intern(s string) string { return unique.Make(s).Value() }

func internID(id ticket.JobID) ticket.JobID {
	id.DataCenter = intern(id.DataCenter)
	id.VM = intern(id.VM)
	id.Process = intern(id.Process)
	return id
}

// ParseKey reads a key; false when it is not a UUIDv7 in the usual form of 36
// characters.
func ParseKey(s string) (uuid.UUID, bool) {
	k, err := uuid.Parse(s)
	ok := err == nil && len(s) == 36 && k.Version() == 7 && k.Variant() == uuid.RFC4122
	return k, ok
}

// Made returns the time stamp of a UUIDv7.
func Made(k uuid.UUID) time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
