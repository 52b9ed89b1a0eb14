package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipehub.example/clock"
	"snipehub.example/event"
	"snipehub.example/mesh"
	"snipehub.example/registry"
)

// A record outlives its process, so the planner asks the listed processes that it can't reach
// whether they live. It writes a probe that names them next to their records, and each renews
// its record as soon as it reads that. A record that is not newer than the probe after
// probeTimeout is deleted, and no longer counts for the quorum. The order of the two is that of
// the log; no clocks are compared.
//
// Only the store can tell a dead process from one that is cut off from the planner. So without
// the store nobody is deleted, and a planner that is cut off from the others, but not from the
// store, finds that they live.
const (
	// probeKey is the key of the probes among the records of the processes.
	probeKey = "probe"
	// quorumProbeDelay is how long a process must have been unreachable before it is probed
	// while there is no quorum, lostProbeDelay while there is one: most processes that are lost
	// come back at their address within seconds.
	quorumProbeDelay = discoveryTimeout
	lostProbeDelay   = 10 * time.Second
	// probeCheckInterval is how often a planner looks for processes to probe.
	probeCheckInterval = time.Second
	// probeTimeout is how long a process has for its answer after it has read the probe: a write
	// with several attempts.
	probeTimeout = 3 * time.Second
	// minProbePause is the least pause between two probes. With many processes it is longer,
	// so that their answers don't exceed maxRenewalRate.
	minProbePause = 5 * time.Second
)

// probeRecord is a probe.
type probeRecord struct {
	Processes []netip.AddrPort `json:"processes"`
}

// decodeProbe decodes a probe; it returns false for records of processes.
func decodeProbe(r registry.Record) (probeRecord, bool) {
	var p probeRecord
	if r.Key != probeKey || json.Unmarshal(r.Value, &p) != nil {
		return probeRecord{}, false
	}
	return p, true
}

// names reports whether a process is probed.
func (p probeRecord) names(a netip.AddrPort) bool { return slices.Contains(p.Processes, a) }

// updateMissing notes since when listed processes of this cell are unreachable.
func (c *Core) updateMissing(now time.Time, reachable []mesh.Member) {
	missing := make(map[netip.AddrPort]time.Time)
	for a := range c.cellRecords {
		since, ok := c.missing[a]
		if !ok {
			since = now
		}
		missing[a] = since
	}
	for _, m := range reachable {
		delete(missing, m.ID.Address)
	}
	c.missing = missing
}

// ProbeTargets returns the listed processes of this cell that this process should probe as its
// planner, sorted.
func (c *Core) ProbeTargets(now time.Time) (targets []netip.AddrPort) {
	if !c.cell.Active() {
		return nil
	}
	delay := lostProbeDelay
	if !c.quorum {
		delay = quorumProbeDelay
	}
	for a, since := range c.missing {
		if now.Sub(since) >= delay {
			targets = append(targets, a)
		}
	}
	slices.SortFunc(targets, netip.AddrPort.Compare)
	return targets
}

// probeMembers probes the processes that the planner can't reach, while this process plans.
func (n *Node) probeMembers(ctx context.Context) error {
	p := &prober{node: n, begun: make(map[netip.AddrPort]probeStart)}
	sub := n.clock.Subscribe(probeCheckInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		targets := n.probeTargets(ctx)
		p.retain(targets)
		if len(targets) == 0 {
			continue
		}
		event.MembersProbed.Log(n.log, "addresses", targets)
		p.probe(ctx, targets)
		clock.Sleep(ctx, max(minProbePause, time.Duration(len(targets))*time.Second/maxRenewalRate))
	}
}

func (n *Node) probeTargets(ctx context.Context) []netip.AddrPort {
	targets, _ := query(ctx, n, func(now time.Time, c *Core) []netip.AddrPort { return c.ProbeTargets(now) })
	return targets
}

// prober keeps the probes of one process that are not answered.
type prober struct {
	node *Node

	mu    sync.Mutex
	begun map[netip.AddrPort]probeStart
}

// probeStart is the first probe of a process since its last answer.
type probeStart struct {
	offset registry.Offset
	at     time.Time
}

// retain forgets all processes but the targets.
func (p *prober) retain(targets []netip.AddrPort) {
	for a := range p.begun {
		if !slices.Contains(targets, a) {
			delete(p.begun, a)
		}
	}
}

// probe probes processes, waits for their answers, and deletes the records of those that have
// not answered and are still unreachable.
func (p *prober) probe(ctx context.Context, targets []netip.AddrPort) {
	var wg sync.WaitGroup
	for part, addrs := range p.node.records.byPartition(targets) {
		wg.Go(func() { p.probePartition(ctx, part, addrs) })
	}
	wg.Wait()
}

func (p *prober) probePartition(ctx context.Context, part int, addrs []netip.AddrPort) {
	n := p.node
	value, err := json.Marshal(probeRecord{addrs})
	if err != nil {
		return
	}
	offset, err := n.put(ctx, part, probeKey, value, storeTimeout)
	if err != nil {
		event.ProbeFailed.Log(n.log, "part", part, "error", err)
		return
	}
	p.begin(addrs, probeStart{offset, time.Now()})
	clock.Sleep(ctx, n.probeTimeout())
	records, err := n.readNewest(ctx, part)
	if err != nil {
		event.ProbeFailed.Log(n.log, "part", part, "error", err)
		return
	}
	missing := n.probeTargets(ctx)
	silent := slices.DeleteFunc(p.silent(records), func(a netip.AddrPort) bool { return !slices.Contains(missing, a) })
	if len(silent) == 0 {
		return
	}
	for _, a := range silent {
		event.MemberSilent.Log(n.log, "address", a)
		n.records.remove(goneMember{part, a})
	}
	// The partitions of other data centres are read so rarely that the planner would learn
	// seconds later what it has deleted.
	n.publishRecords(ctx)
	for _, a := range silent {
		n.deleteRecord(ctx, goneMember{part, a})
	}
}

// begin records the first probes of processes.
func (p *prober) begin(addrs []netip.AddrPort, start probeStart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addrs {
		if _, ok := p.begun[a]; !ok {
			p.begun[a] = start
		}
	}
}

// silent returns the probed processes whose records show that they have not answered in time.
// Processes of earlier releases don't read probes, so they have the time in which a live one
// renews its record in any case.
func (p *prober) silent(records []registry.Record) (out []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		a, err := netip.ParseAddrPort(r.Key)
		start, probed := p.begun[a]
		if err != nil || !probed {
			continue
		}
		var m memberRecord
		answersProbes := json.Unmarshal(r.Value, &m) == nil && m.AnswersProbes
		switch {
		case r.Offset > start.offset:
			delete(p.begun, a)
		case answersProbes || time.Since(start.at) > longestRenewalPause(p.node.records.count())+probeTimeout:
			out = append(out, a)
		}
	}
	return out
}

// probeTimeout returns how long processes have for an answer. Where the deployment may have
// several cells, they read their partition at a slow pace.
func (n *Node) probeTimeout() time.Duration {
	if n.divided.Load() || n.records.count() >= mergeThreshold {
		return ownMembersPause + probeTimeout
	}
	return probeTimeout
}

// readNewest reads the newest record of each key of a partition of the processes' records.
func (n *Node) readNewest(ctx context.Context, part int) ([]registry.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, maxRecordTimeout)
	defer cancel()
	records, _, err := n.platform.Members[part].Newest(ctx)
	return records, err
}

// renewIfAsked renews the own record early if it has been deleted, or a probe that names this
// process is newer: a planner that does not reach this process may take it for dead, and
// without a record it would not count for the quorum until its next renewal.
func (n *Node) renewIfAsked(records []registry.Record, before, after ownRecord) {
	asked := before.listed && !after.listed
	for _, r := range records {
		probe, ok := decodeProbe(r)
		asked = asked || ok && probe.names(n.cfg.Peers) && after.listed && r.Offset > after.offset
	}
	if !asked {
		return
	}
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}
