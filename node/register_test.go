package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/internal/bubble"
	"snipehub.example/mesh"
	"snipehub.example/registry"
)

// partition is a partition of the processes' records in a store that takes its time for an
// append, one after the other, and carries out those whose caller has given up.
type partition struct {
	appendTime time.Duration

	mu       sync.Mutex
	records  []registry.Record
	puts     int
	calls    int
	busyTill time.Time
	// down is set while all calls fail.
	down     bool
	appended chan struct{}
}

func newPartition(appendTime time.Duration) *partition {
	return &partition{appendTime: appendTime, appended: make(chan struct{})}
}

func (p *partition) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

var errDown = errors.New("the store is down")

func (p *partition) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *partition) Put(ctx context.Context, key string, value []byte) (registry.Offset, error) {
	if p.isDown() {
		return 0, errDown
	}
	p.mu.Lock()
	p.puts++
	if now := time.Now(); p.busyTill.Before(now) {
		p.busyTill = now
	}
	p.busyTill = p.busyTill.Add(p.appendTime)
	wait := time.Until(p.busyTill)
	p.mu.Unlock()
	done := make(chan registry.Offset, 1)
	go func() {
		time.Sleep(wait)
		done <- p.append(key, value)
	}()
	select {
	case o := <-done:
		return o, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (p *partition) append(key string, value []byte) registry.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := registry.Offset(len(p.records))
	p.records = append(p.records, registry.Record{Key: key, Value: value, Offset: o, Removed: value == nil})
	close(p.appended)
	p.appended = make(chan struct{})
	return o
}

func (p *partition) Newest(context.Context) ([]registry.Record, registry.Offset, error) {
	if p.isDown() {
		return nil, 0, errDown
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	newest := make(map[string]registry.Record)
	for _, r := range p.records {
		newest[r.Key] = r
	}
	records := slices.DeleteFunc(slices.Collect(maps.Values(newest)), func(r registry.Record) bool { return r.Removed })
	return records, registry.Offset(len(p.records)), nil
}

func (p *partition) Read(ctx context.Context, from registry.Offset, wait time.Duration) ([]registry.Record, registry.Offset, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		if p.isDown() {
			return nil, from, errDown
		}
		p.mu.Lock()
		records, appended := p.records[from:], p.appended
		p.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			return records, from + registry.Offset(len(records)), nil
		}
		select {
		case <-appended:
		case <-t.C:
			return nil, from, nil
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// putCount returns how often a record was written, or tried to be.
func (p *partition) putCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.puts
}

// callCount returns how often the partition was read.
func (p *partition) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// withRegistry runs a test with the part of a process that registers it and follows the
// records of the others, in the second of the partitions, which take the given times for an
// append.
func withRegistry(t *testing.T, appendTimes []time.Duration, test func(n *Node, parts []*partition)) {
	bubble.Test(t, func(t *testing.T) {
		var parts []*partition
		for _, d := range appendTimes {
			parts = append(parts, newPartition(d))
		}
		started := time.Now()
		platform := Platform{OwnMembers: 1}
		for _, p := range parts {
			platform.Members = append(platform.Members, p)
		}
		n := newNode(Config{VM: "vm", DataCenter: "dc-1", Cores: 1, Peers: vmAddr(1)}, platform, slog.New(slog.DiscardHandler), listeners{})
		n.sinceBoot = func() time.Duration { return time.Since(started) }
		n.startedAt = 0
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		serve := []func(context.Context) error{n.clock.Serve, n.runCore, n.maintainRecord, n.probeMembers}
		for i := range parts {
			serve = append(serve, n.followMembers(i).Serve)
		}
		for _, s := range serve {
			wg.Go(func() { _ = s(ctx) })
		}
		test(n, parts)
		cancel()
		wg.Wait()
		n.meter.Close()
		time.Sleep(time.Minute)
	})
}

// At a start, appends wait in the store for longer than the time-out. Each attempt was
// repeated at once, into the queue that had made it late: at 500 processes the store refuses
// all of them.
func TestLateAppendIsNotRepeatedIntoItsQueue(t *testing.T) {
	withRegistry(t, []time.Duration{0, 2500 * time.Millisecond}, func(n *Node, parts []*partition) {
		time.Sleep(10 * time.Second)
		if puts := parts[1].putCount(); puts > 3 {
			t.Errorf("%d appends for one record", puts)
		}
		number, _ := query(context.Background(), n, func(_ time.Time, c *Core) uint64 { return c.self.Number })
		if number != n.memberNumber(1, 0) {
			t.Errorf("number %d, want that of the first append, %d", number, n.memberNumber(1, 0))
		}
	})
}

// Two processes register in different partitions at the same place. With the same number, both
// could hold a worker with the same fencing token.
func TestNumbersAreUniqueOverPartitions(t *testing.T) {
	n := &Node{platform: Platform{Members: make([]Topic, 5)}}
	seen := make(map[uint64]string)
	for part := range 5 {
		for o := range registry.Offset(100) {
			number, place := n.memberNumber(part, o), fmt.Sprintf("%d/%d", part, o)
			if other, ok := seen[number]; ok {
				t.Fatalf("%s and %s have the number %d", place, other, number)
			}
			seen[number] = place
		}
	}
}

// Each renewal of a record woke the readers of all processes, so the calls to the store grew
// with the square of the processes. A process may make one call a second, half of which are
// reads of the operator's topic.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, processes := range []int{100, 300, 1000} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			all := fleet(processes, 5)
			withRegistry(t, make([]time.Duration, 5), func(_ *Node, parts []*partition) {
				renew := func(i int) {
					m := all[i%len(all)]
					value, _ := json.Marshal(memberRecord{Boot: m.ID.Boot, VM: m.VM, DataCenter: m.DataCenter, Cores: m.Cores, Number: m.Number})
					parts[i%len(all)%5].append(m.ID.Address.String(), value)
				}
				for i := range all {
					renew(i)
				}
				time.Sleep(10 * time.Second)
				before := 0
				for _, p := range parts {
					before += p.callCount()
				}
				const seconds = 60
				for i := range maxRenewalRate * seconds {
					renew(i)
					time.Sleep(time.Second / maxRenewalRate)
				}
				calls := -before
				for _, p := range parts {
					calls += p.callCount()
				}
				if calls > seconds/2 {
					t.Errorf("%d calls in %d s for the records of %d processes", calls, seconds, processes)
				}
			})
		})
	}
}

// During an upgrade, processes of the release before register in the first partition, without
// a data centre, and one that is replaced is listed twice. None may be forgotten, or counted
// twice for the quorum.
func TestRecordsOfTheReleaseBefore(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 1)
	r.apply(ms(0), 0, true, renewed(vmAddr(2), vmAddr(3)))
	next := recordChange{address: vmAddr(3), member: mesh.Member{ID: mesh.ID{Address: vmAddr(3), Boot: 7}, DataCenter: "dc"}}
	r.apply(ms(1), 1, true, append(renewed(vmAddr(1)), next))
	got := r.list()
	if len(got) != 3 || got[2].ID.Boot != 7 {
		t.Errorf("listed are %+v, want three, the last one with its new record", got)
	}
}

// A record is overwritten by another writer, or its key is no address. The process that it
// stands for may live, so it stays listed.
func TestUnreadableRecordForgetsNobody(t *testing.T) {
	n := &Node{log: slog.New(slog.DiscardHandler), platform: Platform{Members: make([]Topic, 1)}}
	for _, r := range []registry.Record{
		{Key: vmAddr(2).String(), Value: []byte("{")},
		{Key: vmAddr(2).String(), Value: []byte(`{"boot":"x"}`)},
		{Key: "nobody", Value: []byte(`{"boot":1}`)},
		{Key: "nobody", Removed: true},
	} {
		if change, ok := n.decodeMemberRecord(0, r); ok {
			t.Errorf("record %q %q changes %+v", r.Key, r.Value, change)
		}
	}
	r := newRecordTracker(netip.AddrPort{}, 0)
	r.apply(ms(0), 0, true, renewed(vmAddr(2)))
	r.apply(ms(1), 0, false, nil)
	if got := r.list(); len(got) != 1 {
		t.Errorf("listed are %+v, want the process", got)
	}
}
