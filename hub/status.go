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

// Status is the state of a dispatcher as shown to operators.
type Status struct {
	Self   roster.Member  `json:"self"`
	Tables tables.Version `json:"tables"`
	// TablesAgeMS is the time since the tables were last confirmed.
	TablesAgeMS int64          `json:"tables_age_ms"`
	Ready       bool           `json:"ready"`
	Roster      []roster.Known `json:"roster"`
}

// Report is the status that one dispatcher has returned to another.
type Report struct {
	Member roster.Member `json:"member"`
	State  roster.State  `json:"state"`
	// Status is nil if the dispatcher did not answer; Error then holds the reason.
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// maxStatusCalls bounds the concurrent calls to other dispatchers for one operator's
// request.
const maxStatusCalls = 16

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

// StatusAll requests the status of every dispatcher in the roster that is not gone.
func (h *Hub) StatusAll(ctx context.Context) any {
	self := h.status()
	out := []Report{{Member: self.Self, State: roster.Live, Status: &self}}
	for _, k := range self.Roster {
		if k.State != roster.Gone {
			out = append(out, Report{Member: k.Member, State: k.State})
		}
	}
	slots := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i := range out[1:] {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			h.fetchStatus(ctx, &out[i+1])
		})
	}
	wg.Wait()
	return out
}

func (h *Hub) fetchStatus(ctx context.Context, r *Report) {
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
