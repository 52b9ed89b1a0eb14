package hub

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"snipehub.example/counter"
	"snipehub.example/peer"
	"snipehub.example/roster"
	"snipehub.example/tables"
)

// Status is what operators see of a dispatcher.
type Status struct {
	Self   roster.Member  `json:"self"`
	Tables tables.Version `json:"tables"`
	// TablesAgeMS is the time since the tables were last confirmed.
	TablesAgeMS int64          `json:"tables_age_ms"`
	Ready       bool           `json:"ready"`
	Roster      []roster.Known `json:"roster"`
}

// Report is what one dispatcher has said of itself to another.
type Report struct {
	Member roster.Member `json:"member"`
	State  roster.State  `json:"state"`
	// Status is nil when it did not answer; Error then says why.
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// statusAtOnce bounds the calls to other dispatchers that one question of an
// operator causes at a time.
const statusAtOnce = 16

// Status returns the status of this process.
func (h *Hub) Status() any { return h.status() }

func (h *Hub) status() Status {
	now := h.clock.Now()
	return Status{
		Self:        h.roster.Self(),
		Tables:      h.tables.State().Version,
		TablesAgeMS: now.Sub(h.tables.Confirmed()).Milliseconds(),
		Ready:       h.Ready(),
		Roster:      h.roster.All(now),
	}
}

// StatusAll asks every dispatcher of the roster for its status. Members that
// are gone for good are left out.
func (h *Hub) StatusAll(ctx context.Context) any {
	self := h.status()
	out := []Report{{Member: self.Self, State: roster.Live, Status: &self}}
	for _, k := range self.Roster {
		if k.State != roster.Gone {
			out = append(out, Report{Member: k.Member, State: k.State})
		}
	}
	places := make(chan struct{}, statusAtOnce)
	var wg sync.WaitGroup
	for i := range out[1:] {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			h.ask(ctx, &out[i+1])
		})
	}
	wg.Wait()
	return out
}

func (h *Hub) ask(ctx context.Context, r *Report) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Peers.Timeout.D())
	defer cancel()
	s, err := peer.Call[Status](ctx, h.dialer, r.Member.Address, methodStatus, struct{}{})
	if err != nil {
		r.Error = err.Error()
		return
	}
	s.Roster = nil
	r.Status = &s
}

func (h *Hub) serveOperators(ctx context.Context) error {
	srv := counter.NewServer(h.cfg.Limits, counter.Operators(h, h.meter))
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(h.ln.operators)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}
