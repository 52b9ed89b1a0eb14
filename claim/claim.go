// Package claim maps idempotency keys that callers choose to job identities.
//
// A key is a UUIDv7 in the Idempotency-Key header. It names no owner, so the
// dispatchers agree on one through the platform's log: a dispatcher that receives a
// key reserves an identity of its own, appends a claim (this key stands for this
// identity) to a stream, and reads the stream. The claim of a key with the lowest
// offset wins. All dispatchers read the claims in the same order, so all arrive at
// the same identity and forward to its owner. A process that was paused or
// partitioned can't win late, because it reads the earlier claim first.
//
// The log's retention is limited. A reader that has not read everything since a key
// was made can't know whether the claim it reads is the first, and refuses the key
// as "outcome unknown". The time stamp of the UUIDv7 says when the key was made, up
// to the clock skew; see Table.
//
// The cost is an append and a read for each batch of keys, and new keys are refused
// during an outage of the log. Tickets have neither drawback; see package ticket.
package claim

import (
	"encoding/json"
	"time"
	"unique"

	"github.com/google/uuid"

	"snipehub.example/ticket"
)

// Stream is the name of the log stream that holds the claims.
const Stream = "claims"

// MaxBatch is the maximum number of claims in one record.
const MaxBatch = 256

// CallerKey is a key in the scope of its caller. Equal keys of two callers are
// independent of each other.
type CallerKey struct {
	Caller string
	Key    uuid.UUID
}

// Claim maps a key to an identity.
type Claim struct {
	CallerKey CallerKey
	ID        ticket.JobID
}

// claimRecord is the encoding of a claim on the log.
type claimRecord struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	ID     string `json:"id"`
}

// streamRecord is the encoding of a record of the stream. A record without claims is
// a marker, which keeps the stream from being emptied by the log's retention.
type streamRecord struct {
	Claims []claimRecord `json:"claims,omitempty"`
}

// Encode encodes claims as one record of the stream.
func Encode(claims []Claim) ([]byte, error) {
	var r streamRecord
	for _, c := range claims {
		r.Claims = append(r.Claims, claimRecord{c.CallerKey.Caller, c.CallerKey.Key.String(), c.ID.String()})
	}
	return json.Marshal(r)
}

// Decode decodes a record of the stream. It skips whatever it can't parse. All
// readers must skip the same claims: if two differed, each could take its own claim
// for the first.
func Decode(b []byte) []Claim {
	var r streamRecord
	if json.Unmarshal(b, &r) != nil {
		return nil
	}
	var out []Claim
	for _, c := range r.Claims {
		key, ok := ParseKey(c.Key)
		id, err := ticket.ParseJobID(c.ID)
		if ok && err == nil && c.Caller != "" {
			out = append(out, Claim{CallerKey{intern(c.Caller), key}, internID(id)})
		}
	}
	return out
}

// intern returns one shared copy of equal strings. A table holds many claims of few
// callers and owners, whose names would otherwise take a fifth of its memory (see
// BenchmarkApplyPage).
func intern(s string) string { return unique.Make(s).Value() }

func internID(id ticket.JobID) ticket.JobID {
	id.DataCenter = intern(id.DataCenter)
	id.VM = intern(id.VM)
	id.Process = intern(id.Process)
	return id
}

// ParseKey parses a key. It returns false unless s is a UUIDv7 in the canonical form
// of 36 characters.
func ParseKey(s string) (uuid.UUID, bool) {
	k, err := uuid.Parse(s)
	ok := err == nil && len(s) == 36 && k.Version() == 7 && k.Variant() == uuid.RFC4122
	return k, ok
}

// KeyTime returns the time stamp of a UUIDv7.
func KeyTime(k uuid.UUID) time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
