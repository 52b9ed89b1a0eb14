package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"snipehub.example/ticket"
)

// bad is the error of a key.
func bad(key, reason string) error { return errors.Errorf("%s: %s", key, reason) }

// checkKeys holds every key to its rule.
func (c *Config) checkKeys() error {
	values := leaves(c)
	for _, k := range keys {
		if !k.rule.ok(values[k.Name]) {
			return bad(k.Name, "must be "+k.rule.text)
		}
	}
	return nil
}

// checkTogether finds keys that contradict each other.
func (c *Config) checkTogether() error {
	for _, check := range []func() error{c.checkListen, c.checkTLS, c.checkPeers, c.checkCallers, c.checkLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkListen() error {
	taken := make(map[netip.AddrPort]string)
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen.callers", c.Listen.Callers},
		{"listen.peers", c.Listen.Peers},
		{"listen.operators", c.Listen.Operators},
	} {
		if other, ok := taken[l.addr]; ok && l.addr.IsValid() {
			return bad(l.key, "is the same address as "+other)
		}
		taken[l.addr] = l.key
	}
	return nil
}

func (c *Config) checkTLS() error {
	t := c.TLS
	switch {
	case (t.CallerCert == "") != (t.CallerKey == ""):
		return bad("tls.caller_cert", "and tls.caller_key must be set together")
	case (t.PeerCert == "") != (t.PeerKey == ""), (t.PeerCert == "") != (t.PeerCA == ""):
		return bad("tls.peer_cert", "and tls.peer_key and tls.peer_ca must be set together")
	}
	return nil
}

func (c *Config) checkPeers() error {
	if c.Peers.SuspectAfter < 2*c.Peers.Heartbeat {
		return bad("peers.suspect_after", "must be at least twice peers.heartbeat")
	}
	return nil
}

func (c *Config) checkCallers() error {
	switch {
	case !c.Callers.Open && len(c.Callers.Tokens) == 0:
		return bad("callers.tokens", "is empty; set callers.open = true to let everybody in")
	case c.Callers.Open && len(c.Callers.Tokens) > 0:
		return bad("callers.open", "contradicts callers.tokens")
	}
	teams := make(map[string]string)
	tokens := make(map[string]bool)
	for i, t := range c.Callers.Tokens {
		key := fmt.Sprintf("callers.tokens[%d].", i)
		h, err := hex.DecodeString(t.SHA256)
		team, known := teams[t.Caller]
		switch {
		case !ticket.ValidName(t.Caller):
			return bad(key+"caller", "must be "+name.text)
		case t.Team != "" && !ticket.ValidName(t.Team):
			return bad(key+"team", "must be empty, or "+name.text)
		case err != nil || len(h) != 32:
			return bad(key+"sha256", "must be 64 hexadecimal digits")
		case tokens[string(h)]:
			return bad(key+"sha256", "stands twice")
		case known && team != t.Team:
			return bad(key+"team", fmt.Sprintf("is %q, but the caller %q is of team %q above", t.Team, t.Caller, team))
		}
		teams[t.Caller] = t.Team
		tokens[string(h)] = true
	}
	return nil
}

func (c *Config) checkLimits() error {
	l := c.Limits
	switch {
	case uint64(l.TicketWindow) > l.TicketRange:
		return bad("limits.ticket_window", "must not be above limits.ticket_range")
	case l.AnswerBytes > l.KeptAnswerBytes:
		return bad("limits.answer_bytes", "must not be above limits.kept_answer_bytes")
	case l.BodyBytes > l.OpenBytes:
		return bad("limits.body_bytes", "must not be above limits.open_bytes")
	case l.JobTasks > l.QueuedTasks:
		return bad("limits.job_tasks", "must not be above limits.queued_tasks")
	case 3*c.Tables.Poll > c.Tables.Settle:
		return bad("tables.poll", "must be at most a third of tables.settle")
	case c.Dispatch.TaskTimeout > l.JobTimeout:
		return bad("dispatch.task_timeout", "must not be above limits.job_timeout")
	}
	return nil
}
