package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"snipehub.example/ticket"
)

// keyError reports that the value of key is invalid for the given reason.
func keyError(key, reason string) error { return errors.Errorf("%s: %s", key, reason) }

// checkValues checks the value of each key against the key's rule.
func (c *Config) checkValues() error {
	values := valuesByKey(c)
	for _, k := range keys {
		if !k.rule.valid(values[k.Name]) {
			return keyError(k.Name, "must be "+k.rule.requirement)
		}
	}
	return nil
}

// checkConsistency reports the first conflict between keys, or the first invalid token of
// callers.tokens.
func (c *Config) checkConsistency() error {
	for _, check := range []func() error{c.checkListen, c.checkTLS, c.checkPeers, c.checkCallers, c.checkLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkListen() error {
	keyByAddr := make(map[netip.AddrPort]string)
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen.callers", c.Listen.Callers},
		{"listen.peers", c.Listen.Peers},
		{"listen.operators", c.Listen.Operators},
	} {
		if other, ok := keyByAddr[l.addr]; ok && l.addr.IsValid() {
			return keyError(l.key, "is the same address as "+other)
		}
		keyByAddr[l.addr] = l.key
	}
	return nil
}

func (c *Config) checkTLS() error {
	t := c.TLS
	switch {
	case (t.CallerCert == "") != (t.CallerKey == ""):
		return keyError("tls.caller_cert", "and tls.caller_key must be set together")
	case (t.PeerCert == "") != (t.PeerKey == ""), (t.PeerCert == "") != (t.PeerCA == ""):
		return keyError("tls.peer_cert", "and tls.peer_key and tls.peer_ca must be set together")
	}
	return nil
}

func (c *Config) checkPeers() error {
	if c.Peers.SuspectAfter < 2*c.Peers.Heartbeat {
		return keyError("peers.suspect_after", "must be at least twice peers.heartbeat")
	}
	return nil
}

func (c *Config) checkCallers() error {
	switch {
	case !c.Callers.Open && len(c.Callers.Tokens) == 0:
		return keyError("callers.tokens", "is empty; set callers.open = true to let everybody in")
	case c.Callers.Open && len(c.Callers.Tokens) > 0:
		return keyError("callers.open", "contradicts callers.tokens")
	}
	teamByCaller := make(map[string]string)
	seenHashes := make(map[string]bool)
	for i, t := range c.Callers.Tokens {
		key := fmt.Sprintf("callers.tokens[%d].", i)
		hash, err := hex.DecodeString(t.SHA256)
		team, known := teamByCaller[t.Caller]
		switch {
		case !ticket.ValidName(t.Caller):
			return keyError(key+"caller", "must be "+identifier.requirement)
		case t.Team != "" && !ticket.ValidName(t.Team):
			return keyError(key+"team", "must be empty, or "+identifier.requirement)
		case err != nil || len(hash) != 32:
			return keyError(key+"sha256", "must be 64 hexadecimal digits")
		case seenHashes[string(hash)]:
			return keyError(key+"sha256", "stands twice")
		case known && team != t.Team:
			return keyError(key+"team", fmt.Sprintf("is %q, but the caller %q is of team %q above", t.Team, t.Caller, team))
		}
		teamByCaller[t.Caller] = t.Team
		seenHashes[string(hash)] = true
	}
	return nil
}

// checkLimits compares the limits with each other, and with those of tables and dispatch.
func (c *Config) checkLimits() error {
	l := c.Limits
	switch {
	case uint64(l.TicketWindow) > l.TicketRange:
		return keyError("limits.ticket_window", "must not be above limits.ticket_range")
	case l.AnswerBytes > l.KeptAnswerBytes:
		return keyError("limits.answer_bytes", "must not be above limits.kept_answer_bytes")
	case l.BodyBytes > l.OpenBytes:
		return keyError("limits.body_bytes", "must not be above limits.open_bytes")
	case l.JobTasks > l.QueuedTasks:
		return keyError("limits.job_tasks", "must not be above limits.queued_tasks")
	case 3*c.Tables.Poll > c.Tables.Settle:
		return keyError("tables.poll", "must be at most a third of tables.settle")
	case c.Dispatch.TaskTimeout > l.JobTimeout:
		return keyError("dispatch.task_timeout", "must not be above limits.job_timeout")
	}
	return nil
}
