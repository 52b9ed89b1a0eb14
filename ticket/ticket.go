// Package ticket defines the identities of submissions and ensures that no
// submission is started twice.
//
// A ticket is a range of sequence numbers, each of which identifies one submission: a
// job or a request. A sequence, for short, is a number with its submission; it starts,
// runs and ends.
//
// A ticket names its owner, the one process incarnation that may start the ticket's
// sequences. Hence the owner can prevent a second start on its own: it remembers what
// it has started, and no other process starts anything under that identity, whichever
// processes are partitioned, paused or down. The cost is that an identity whose owner
// has died is answered as failed with the outcome unknown; the caller decides what to
// do then.
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

// String formats the owner as in ids.
func (o Owner) String() string {
	return strings.Join([]string{o.DataCenter, o.VM, o.Process, strconv.FormatUint(o.Incarnation, 36)}, separator)
}

// Precedes reports whether o is an earlier incarnation of the same process as other.
func (o Owner) Precedes(other Owner) bool {
	earlier := o.Incarnation < other.Incarnation
	other.Incarnation = o.Incarnation
	return earlier && o == other
}

// ID identifies a ticket.
type ID struct {
	Owner
	// Number numbers the tickets of one incarnation.
	Number uint64 `json:"stream"`
}

// JobID identifies a job or a request: one sequence number of a ticket.
type JobID struct {
	ID
	Seq uint64 `json:"seq"`
}

// ErrFormat is returned for a malformed id or window.
var ErrFormat = errors.New("ticket: malformed id")

const separator = "."

// String formats the id as in URLs.
func (i ID) String() string {
	return strings.Join([]string{
		i.DataCenter, i.VM, i.Process,
		strconv.FormatUint(i.Incarnation, 36),
		strconv.FormatUint(i.Number, 36),
	}, separator)
}

// Job returns the job id of a sequence number.
func (i ID) Job(seq uint64) JobID { return JobID{i, seq} }

// String formats the job id as in URLs.
func (j JobID) String() string {
	return j.ID.String() + separator + strconv.FormatUint(j.Seq, 10)
}

// ParseID parses the output of ID.String.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, separator)
	if len(parts) != 5 {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	for _, name := range parts[:3] {
		if !ValidName(name) {
			return ID{}, errors.Wrapf(ErrFormat, "%q", s)
		}
	}
	incarnation, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	stream, err := strconv.ParseUint(parts[4], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrFormat, "%q", s)
	}
	return ID{Owner{parts[0], parts[1], parts[2], incarnation}, stream}, nil
}

// ParseJobID parses the output of JobID.String.
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

// ValidName reports whether s may be part of an id: it must consist of letters, digits
// and dashes, and be 1 to 64 bytes long.
func ValidName(s string) bool {
	for _, r := range s {
		ok := r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !ok {
			return false
		}
	}
	return s != "" && len(s) <= 64
}
