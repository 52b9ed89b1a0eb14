package node

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"snipehub.example/event"
	"snipehub.example/mesh"
	"snipehub.example/registry"
)

// memberRecord is the record of a process in the store, under its address in the mesh. It
// is renewed at intervals. Records of earlier releases have only the first two fields.
type memberRecord struct {
	Boot       uint64  `json:"boot"`
	VM         string  `json:"vm"`
	DataCenter string  `json:"dc,omitempty"`
	Cores      float64 `json:"cores,omitempty"`
	// Number is the process's number. The first record lacks it, since its place in the
	// store gives the number.
	Number uint64 `json:"number,omitempty"`
	// AnswersProbes is set if the process renews its record when it is probed.
	AnswersProbes bool `json:"probes,omitempty"`
}

const (
	// membersPollWait is how long a read of the own partition waits for a record while the
	// deployment is a single cell. Sessions tell of most changes sooner.
	membersPollWait = 5 * time.Second
	// membersReadGap is the pause between two such reads: records that are written
	// together are read together.
	membersReadGap = 100 * time.Millisecond
	// A read that waits is woken by each renewal, so the calls would grow with the square
	// of the processes. Where there are several cells, and in the partitions of other data
	// centres, records are read at a pace that slows down from the first pause to the last.
	firstMembersPause = 300 * time.Millisecond
	// ownMembersPause is the last pause in the own partition, plannerMembersPause in others by
	// a planner, which has links with other cells, or in a single cell, otherMembersPause by
	// other processes. A process that joins dials its cell itself, so it is known earlier.
	ownMembersPause     = 20 * time.Second
	plannerMembersPause = 10 * time.Second
	otherMembersPause   = 2 * time.Minute
)

// followMembers follows one partition of the list of processes.
func (n *Node) followMembers(part int) *registry.Follower {
	cfg := registry.Config{Name: topicMembers, Pace: func() (wait, pause time.Duration) { return n.membersPace(part) }}
	if part != n.platform.OwnMembers {
		cfg.Name = fmt.Sprintf("%s-%d", topicMembers, part)
	}
	return n.follower(cfg, n.platform.Members[part], nil, func(ctx context.Context, update registry.Update) {
		changes := make([]recordChange, 0, len(update.Records))
		for _, r := range update.Records {
			if change, ok := n.decodeMemberRecord(part, r); ok {
				changes = append(changes, change)
			}
		}
		before := n.records.own()
		changed, gone := n.records.apply(update.At, part, update.Full, changes)
		if part == n.platform.OwnMembers {
			n.renewIfAsked(update.Records, before, n.records.own())
		}
		for _, m := range gone {
			event.MemberForgotten.Log(n.log, "address", m.address)
			n.deleteRecord(ctx, m)
		}
		if !changed && n.divided.Load() {
			return
		}
		n.publishRecords(ctx)
	})
}

// publishRecords tells the core which processes the store lists.
func (n *Node) publishRecords(ctx context.Context) {
	listed, complete := n.records.list(), n.records.complete(len(n.platform.Members))
	n.enqueue(ctx, func(now time.Time, c *Core) { c.SetRecorded(now, listed, complete) })
}

// membersPace returns how a partition is read next. The pauses grow with the time since the
// process has started, since most processes register when the others do.
func (n *Node) membersPace(part int) (wait, pause time.Duration) {
	running := n.sinceBoot() - n.startedAt
	planner := n.planner.Load()
	switch {
	case part == n.platform.OwnMembers && !n.divided.Load():
		return membersPollWait, membersReadGap
	case part == n.platform.OwnMembers:
		return 0, min(max(running, firstMembersPause), ownMembersPause)
	case !n.divided.Load(), planner != nil && planner.Address == n.cfg.Peers:
		return 0, min(max(3*running, firstMembersPause), plannerMembersPause)
	}
	return 0, min(max(3*running, firstMembersPause), otherMembersPause)
}

// decodeMemberRecord decodes a record read in a partition. One that can't be read changes
// nothing: the process may live, and its record may have been overwritten by mistake.
func (n *Node) decodeMemberRecord(part int, r registry.Record) (recordChange, bool) {
	if r.Key == probeKey {
		return recordChange{}, false
	}
	a, err := netip.ParseAddrPort(r.Key)
	if err != nil {
		event.RecordUnreadable.Log(n.log, "topic", topicMembers, "part", part, "key", r.Key, "error", err)
		return recordChange{}, false
	}
	change := recordChange{address: a, removed: r.Removed, offset: r.Offset}
	if r.Removed {
		return change, true
	}
	var m memberRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		event.RecordUnreadable.Log(n.log, "topic", topicMembers, "part", part, "key", r.Key, "error", err)
		return recordChange{}, false
	}
	change.member = mesh.Member{
		ID:         mesh.ID{Address: a, Boot: m.Boot},
		VM:         m.VM,
		DataCenter: m.DataCenter,
		Cores:      m.Cores,
		Number:     cmp.Or(m.Number, n.memberNumber(part, r.Offset)),
	}
	if change.member.ID == n.id {
		n.noteOwnRecord(change.member.Number)
	}
	return change, true
}

// noteOwnRecord tells maintainRecord that the own record is in the store.
func (n *Node) noteOwnRecord(number uint64) {
	select {
	case n.recordedAs <- number:
	default:
	}
}

// firstMemberNumber is above the numbers that earlier releases take from the same topic, for
// as long as it has fewer records, so that during an upgrade no two processes have the same.
const firstMemberNumber = 1 << 19

// memberNumber returns the number of a process whose record has the given place. No other
// record has the same.
func (n *Node) memberNumber(part int, o registry.Offset) uint64 {
	return firstMemberNumber + uint64(o)*uint64(len(n.platform.Members)) + uint64(part) + 1
}

// deleteRecord deletes the record of a process that is gone for good. Only the planner
// does so.
func (n *Node) deleteRecord(ctx context.Context, gone goneMember) {
	if p := n.planner.Load(); p == nil || p.Address != n.cfg.Peers {
		return
	}
	if _, err := n.put(ctx, gone.part, gone.address.String(), nil, storeTimeout); err != nil {
		event.MemberNotRecorded.Log(n.log, "address", gone.address, "error", err)
	}
}

const (
	// recordRetryMin and recordRetryMax bound the backoff after a failed attempt to write
	// the own record.
	recordRetryMin = 50 * time.Millisecond
	recordRetryMax = 500 * time.Millisecond
	// maxRecordTimeout is the longest time-out of an attempt. The store queues the appends
	// of two seconds in a partition and refuses further ones, so an attempt that takes
	// longer is lost.
	maxRecordTimeout = 3 * time.Second
	// renewInterval is the least average time between renewals. The planner learns sooner of
	// processes that are gone, by probes.
	renewInterval = time.Minute
	// maxRenewalRate bounds the renewals of all processes together, a second. Each is read by
	// the processes of a data centre.
	maxRenewalRate = 4
)

// renewalPause draws the time until the next renewal, three to five quarters of the average.
// Large deployments renew at longer intervals.
func (n *Node) renewalPause() time.Duration {
	average := averageRenewalPause(n.records.count())
	return average*3/4 + rand.N(average/2)
}

// longestRenewalPause returns the longest time between two renewals of a process, for a number
// of processes.
func longestRenewalPause(processes int) time.Duration { return averageRenewalPause(processes) * 5 / 4 }

func averageRenewalPause(processes int) time.Duration {
	return max(renewInterval, time.Duration(processes)*time.Second/maxRenewalRate)
}

// maintainRecord writes this process's record, takes its number from the record's place,
// and renews it.
func (n *Node) maintainRecord(ctx context.Context) error {
	record := memberRecord{Boot: n.id.Boot, VM: n.cfg.VM, DataCenter: n.cfg.DataCenter, Cores: n.cfg.Cores, AnswersProbes: true}
	for ctx.Err() == nil && !n.stopping.Load() {
		number, ok := n.writeRecord(ctx, record)
		if ok && record.Number == 0 {
			record.Number = number
			event.MemberRecorded.Log(n.log, "number", number)
			n.advertise(ctx, func(m *mesh.Member) { m.Number = number })
		}
		n.awaitRenewal(ctx)
	}
	// stop deletes the record.
	<-ctx.Done()
	return ctx.Err()
}

// awaitRenewal waits until the own record is to be renewed.
func (n *Node) awaitRenewal(ctx context.Context) {
	t := time.NewTimer(n.renewalPause())
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.renewNow:
	case <-ctx.Done():
	}
}

// writeRecord writes the own record, with as many attempts as it takes, and returns its
// number; it returns false if the process stops. An attempt that timed out may be carried
// out all the same: unless the process is numbered already, the record that is read in the
// store counts as well.
func (n *Node) writeRecord(ctx context.Context, record memberRecord) (number uint64, ok bool) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, false
	}
	backoff, timeout := recordRetryMin, storeTimeout
	for ctx.Err() == nil && !n.stopping.Load() {
		began := time.Now()
		o, err := n.put(ctx, n.platform.OwnMembers, n.cfg.Peers.String(), value, timeout)
		if err == nil {
			return n.memberNumber(n.platform.OwnMembers, o), true
		}
		took := time.Since(began)
		event.MemberNotRecorded.Log(n.log, "address", n.cfg.Peers, "after_ms", took.Milliseconds(), "error", err)
		if took >= timeout {
			// The store may only be slow: a further attempt waits behind this one.
			timeout = min(2*timeout, maxRecordTimeout)
		}
		if number, ok := n.awaitOwnRecord(ctx, backoff/2+rand.N(backoff)); ok && record.Number == 0 {
			return number, true
		}
		backoff = min(2*backoff, recordRetryMax)
	}
	return 0, false
}

// awaitOwnRecord waits until the own record is read in the store, up to a limit.
func (n *Node) awaitOwnRecord(ctx context.Context, limit time.Duration) (number uint64, ok bool) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case number := <-n.recordedAs:
		return number, true
	case <-t.C:
	case <-ctx.Done():
	}
	return 0, false
}

// deleteOwnRecord deletes the own record before a planned stop.
func (n *Node) deleteOwnRecord(ctx context.Context) error {
	_, err := n.put(ctx, n.platform.OwnMembers, n.cfg.Peers.String(), nil, storeTimeout)
	return err
}

// put appends a record to a partition of the processes' records; a nil value deletes its key.
func (n *Node) put(ctx context.Context, part int, key string, value []byte, timeout time.Duration) (registry.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.platform.Members[part].Put(ctx, key, value)
}
