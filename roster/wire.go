package roster

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// ErrHeartbeat is returned for a malformed heartbeat.
var ErrHeartbeat = errors.New("roster: malformed heartbeat")

// maxHeartbeatNews bounds the number of members in a received heartbeat.
const maxHeartbeatNews = 2048

// wireMember is the JSON form of a member in a heartbeat. The owner is written as a
// ticket ID: as an object it would take a third of the heartbeat.
type wireMember struct {
	Owner   string         `json:"owner"`
	Address netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving,omitempty"`
	Count   uint64         `json:"count"`
	Tables  tables.Version `json:"tables"`
	Age     *int64         `json:"age,omitempty"`
	Free    int            `json:"free,omitempty"`
	Conns   int            `json:"conns,omitempty"`
	State   State          `json:"state,omitempty"`
}

type wireHeartbeat struct {
	From wireMember   `json:"from"`
	Join bool         `json:"join,omitempty"`
	Size int          `json:"size,omitempty"`
	News []wireMember `json:"news,omitempty"`
}

// MarshalJSON encodes the heartbeat in its compact form.
func (h Heartbeat) MarshalJSON() ([]byte, error) {
	w := wireHeartbeat{From: toWire(h.From, Live), Join: h.Join, Size: h.Size, News: make([]wireMember, 0, len(h.News))}
	if h.From.Confirmed {
		ms := h.From.Age.Milliseconds()
		w.From.Age = &ms
	}
	for _, n := range h.News {
		w.News = append(w.News, toWire(n.Member, n.State))
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (h *Heartbeat) UnmarshalJSON(text []byte) error {
	var w wireHeartbeat
	if err := json.Unmarshal(text, &w); err != nil {
		return errors.Wrap(ErrHeartbeat, err.Error())
	}
	if len(w.News) > maxHeartbeatNews {
		return errors.Wrapf(ErrHeartbeat, "%d news", len(w.News))
	}
	from, _, err := fromWire(w.From)
	if err != nil {
		return err
	}
	out := Heartbeat{From: from, Join: w.Join, Size: w.Size, News: make([]News, 0, len(w.News))}
	for _, m := range w.News {
		member, state, err := fromWire(m)
		if err != nil {
			return err
		}
		out.News = append(out.News, News{member, state})
	}
	*h = out
	return nil
}

func toWire(m Member, s State) wireMember {
	w := wireMember{
		Owner:   ticket.ID{Owner: m.Owner}.String(),
		Address: m.Address,
		Leaving: m.Leaving,
		Count:   m.Count,
		Tables:  m.Tables,
		Free:    m.FreeSlots,
		Conns:   m.Connections,
	}
	if s == Suspect || s == Gone {
		w.State = s
	}
	return w
}

func fromWire(w wireMember) (Member, State, error) {
	id, err := ticket.ParseID(w.Owner)
	switch {
	case err != nil:
		return Member{}, "", errors.Wrap(ErrHeartbeat, err.Error())
	case !w.Address.IsValid():
		return Member{}, "", errors.Wrap(ErrHeartbeat, "no address")
	case w.State != "" && w.State != Suspect && w.State != Gone:
		return Member{}, "", errors.Wrapf(ErrHeartbeat, "state %q", w.State)
	case w.Age != nil && (*w.Age < 0 || *w.Age > maxAge.Milliseconds()):
		return Member{}, "", errors.Wrapf(ErrHeartbeat, "age %d", *w.Age)
	}
	m := Member{
		Owner:       id.Owner,
		Address:     w.Address,
		Leaving:     w.Leaving,
		Count:       w.Count,
		Tables:      w.Tables,
		FreeSlots:   w.Free,
		Connections: w.Conns,
	}
	if w.Age != nil {
		// The sender truncated the age to milliseconds; it must not appear younger than
		// it is.
		m.Confirmed, m.Age = true, time.Duration(*w.Age+1)*time.Millisecond
	}
	if w.State == "" {
		w.State = Live
	}
	return m, w.State, nil
}

// maxAge bounds the age of a confirmation in a received heartbeat.
const maxAge = 1000 * time.Hour
