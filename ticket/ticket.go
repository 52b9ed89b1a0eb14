// Package ticket holds the identity of submissions and the rule that no
// submission starts twice.
//
// A ticket names the one process incarnation that may start its sequences.
// This makes the rule local: the owner remembers what it has started, and
// nobody else starts anything for that identity, whatever is cut off, paused
// or down. The price is that an identity whose owner dies is answered as
// failed with the outcome unknown; the caller decides what to do.
package ticket

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Owner names one incarnation of a dispatcher process.
type Owner struct {
	DataCenter string `json:"data_center"`
	VM         string `json:"vm"`
	Process    string `json:"process"`
	// Incarnation is new for each start of the process, and grows.
	Incarnation uint64 `json:"incarnation"`
}

// String writes the owner as it stands in ids.
func (o Owner) String() string {
	return strings.Join([]string{o.DataCenter, o.VM, o.Process, strconv.FormatUint(o.Incarnation, 36)}, separator)
}

// Precedes tells whether o is an earlier incarnation of the process n.
func (o Owner) Precedes(n Owner) bool {
	earlier := o.Incarnation < n.Incarnation
	n.Incarnation = o.Incarnation
	return earlier && o == n
}

// ID is the name of a ticket.
type ID struct {
	Owner
	// Stream numbers the tickets of one incarnation.
	Stream uint64 `json:"stream"`
}

// JobID is one sequence number of a ticket.
type JobID struct {
	ID
	Seq uint64 `json:"seq"`
}

// ErrFormat is returned for text that is not an id.
var ErrFormat = errors.New("ticket: malformed id")

const separator = "."

// String writes the id as it stands in URLs.
func (i ID) String() string {
	return strings.Join([]string{
		i.DataCenter, i.VM, i.Process,
		strconv.FormatUint(i.Incarnation, 36),
		strconv.FormatUint(i.Stream, 36),
	}, separator)
}

// Job returns the job id of a sequence number.
func (i ID) Job(seq uint64) JobID { return JobID{i, seq} }

// String writes the job id as it stands in URLs.
func (j JobID) String() string {
	return j.ID.String() + separator + strconv.FormatUint(j.Seq, 10)
}

// ParseID reads what ID.String writes.
func ParseID(s string) (ID, error) {
	p := strings.Split(s, separator)
	if len(p) != 5 {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	for _, name := range p[:3] {
		if !ValidName(name) {
			return ID{}, errors.Wrapf(ErrFormat, "%q", s)
		}
	}
	inc, err := strconv.ParseUint(p[3], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	stream, err := strconv.ParseUint(p[4], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	return ID{Owner{p[0], p[1], p[2], inc}, stream}, nil
}

// ParseJobID reads what JobID.String writes.
func ParseJobID(s string) (JobID, error) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return JobID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	id, err := ParseID(s[:i])
	if err != nil {
		return JobID{}, err
	}
	seq, err := strconv.ParseUint(s[i+1:], 10, 64)
	if err != nil {
		return JobID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	return JobID{id, seq}, nil
}

// ValidName tells whether a name may be part of an id: letters, digits and
// dashes.
func ValidName(s string) bool {
	for _, r := range s {
		ok := r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !ok {
			return false
		}
	}
	return s != "" && len(s) <= 64
}
