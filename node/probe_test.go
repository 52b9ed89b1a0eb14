package node

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"snipehub.example/registry"
)

// recoveryTime is the time after which a deployment whose processes all run must serve again.
const recoveryTime = 12 * time.Second

// appendRecord writes the record of another process.
func (p *partition) appendRecord(n int, r memberRecord) {
	r.Boot, r.DataCenter, r.Cores = uint64(n), "dc-1", 1
	value, _ := json.Marshal(r)
	p.append(vmAddr(n).String(), value)
}

// hasQuorum reports whether the process reaches more than half of the listed ones.
func hasQuorum(n *Node) bool {
	quorum, _ := query(context.Background(), n, func(_ time.Time, c *Core) bool { return c.HasQuorum() })
	return quorum
}

// answerProbes renews the record of another process whenever a probe names it, until ctx ends.
func answerProbes(ctx context.Context, p *partition, n int) {
	from := registry.Offset(0)
	for ctx.Err() == nil {
		records, next, err := p.Read(ctx, from, time.Second)
		if err != nil {
			return
		}
		from = next
		for _, r := range records {
			if probe, ok := decodeProbe(r); ok && probe.names(vmAddr(n)) {
				p.appendRecord(n, memberRecord{AnswersProbes: true})
			}
		}
	}
}

// Guards against records of processes that were killed counting in the quorum: after each
// process was replaced at a new address and all were restarted, no worker got a holder, and
// nothing was served for minutes.
func TestDeadProcessesLoseTheirVote(t *testing.T) {
	withRegistry(t, make([]time.Duration, 2), func(n *Node, parts []*partition) {
		for i := range 8 {
			parts[i%2].appendRecord(10+i, memberRecord{AnswersProbes: true})
		}
		time.Sleep(recoveryTime)
		if !hasQuorum(n) {
			t.Error("the only live process has no quorum: its dead predecessors still count")
		}
	})
}

// Guards against a process that is cut off from the others, but not from the store, taking
// their workers: they answer its probes, so they keep counting.
func TestProcessesThatAnswerProbesCount(t *testing.T) {
	withRegistry(t, make([]time.Duration, 2), func(n *Node, parts []*partition) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 3 {
			parts[i%2].appendRecord(10+i, memberRecord{AnswersProbes: true})
			go answerProbes(ctx, parts[i%2], 10+i)
		}
		for range 60 {
			time.Sleep(5 * time.Second)
			if hasQuorum(n) {
				t.Error("a process that reaches no other one has a quorum")
				return
			}
		}
	})
}

// Guards against live processes of the release before being taken for dead: they don't answer
// probes, but renew their records at intervals.
func TestProcessesOfTheReleaseBeforeCount(t *testing.T) {
	withRegistry(t, make([]time.Duration, 2), func(n *Node, parts []*partition) {
		const dead = 13
		parts[0].appendRecord(dead, memberRecord{})
		for range 4 {
			for i := range 3 {
				parts[i%2].appendRecord(10+i, memberRecord{})
			}
			time.Sleep(longestRenewalPause(n.records.count()))
			if hasQuorum(n) {
				t.Error("a process that reaches no other one has a quorum")
				return
			}
		}
		if _, listed := n.records.parts[0][vmAddr(dead)]; listed {
			t.Error("a dead process of the release before still counts")
		}
	})
}

// Guards against processes that live being deleted by a planner that could not reach them:
// they write their record again, with the same number.
func TestDeletedProcessRegistersAgain(t *testing.T) {
	withRegistry(t, make([]time.Duration, 2), func(n *Node, parts []*partition) {
		time.Sleep(time.Second)
		parts[1].append(vmAddr(1).String(), nil)
		time.Sleep(time.Second)
		own := n.records.own()
		if !own.listed || parts[1].putCount() != 2 {
			t.Errorf("the own record is listed: %v, after %d writes; want it written once more", own.listed, parts[1].putCount())
		}
	})
}

// Guards against a planner without the store deleting processes: nothing tells it whether they
// live.
func TestNobodyIsSilentWithoutTheStore(t *testing.T) {
	withRegistry(t, []time.Duration{0, 0}, func(n *Node, parts []*partition) {
		for i := range 3 {
			parts[i%2].appendRecord(10+i, memberRecord{AnswersProbes: true})
		}
		time.Sleep(time.Second)
		for _, p := range parts {
			p.setDown(true)
		}
		time.Sleep(time.Minute)
		if hasQuorum(n) {
			t.Error("a process that reaches neither the others nor the store has a quorum")
		}
		for _, p := range parts {
			p.setDown(false)
		}
		time.Sleep(recoveryTime)
		if !hasQuorum(n) {
			t.Error("the only live process has no quorum after the store is back")
		}
	})
}

// Guards against processes that stop as planned while the store is away keeping their vote:
// they can't delete their records, and the workers of more than half would get no holder until
// the store is back.
func TestStoppedProcessesDoNotCount(t *testing.T) {
	c := newCore(1, 2, 3, 4, 5)
	for n := 2; n <= 5; n++ {
		c.MemberUp(ms(n), member(n), uint64(n))
	}
	for n := 3; n <= 5; n++ {
		m := member(n)
		m.Leaving = true
		c.MemberChanged(ms(10*n), m)
		c.MemberDown(ms(10*n+5), m.ID, uint64(n), ms(10*n+5))
		if !c.HasQuorum() {
			t.Fatalf("no quorum after process %d has stopped", n)
		}
	}
	c.MemberDown(ms(100), member(2).ID, 2, ms(100))
	if c.HasQuorum() {
		t.Error("a process that is cut off from the only other one has a quorum")
	}
}

// Guards against both halves of a deployment that is cut in two taking each other's workers
// because each discounts what stops on the other side.
func TestStoppingProcessesGiveNoSideAMajority(t *testing.T) {
	for self, side := range map[int][]int{1: {2}, 3: {4}} {
		known := slices.DeleteFunc([]int{1, 2, 3, 4}, func(n int) bool { return n == self })
		c := newCore(self, known...)
		stopping := []int{2, 4}
		for _, n := range known {
			m := member(n)
			m.Leaving = slices.Contains(stopping, n)
			c.MemberUp(ms(n), m, uint64(n))
		}
		for _, n := range known {
			if !slices.Contains(side, n) {
				c.MemberDown(ms(20), member(n).ID, uint64(n), ms(20))
			}
		}
		if c.HasQuorum() {
			t.Errorf("process %d has a quorum with half of those that don't stop", self)
		}
	}
}
