package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/mesh"
	"snipehub.example/meter"
	"snipehub.example/registry"
)

const (
	// storeTimeout bounds the time in which nothing arrives of a response of the store, which
	// begins to answer within some milliseconds, in addition to the wait that the call asks
	// for.
	storeTimeout = 700 * time.Millisecond
	// operatorPollWait is how long one read waits for a change of the configuration. A
	// connection that went dead can hide a change for as long, so it must be well below
	// the seconds within which a change has to be in force. Longer waits save calls, which
	// are billed.
	operatorPollWait = 2 * time.Second
	// workersPollInterval is how often the workers' records are read for the planner. Each
	// worker renews its record every second or two, so waiting for changes would cost one
	// call per renewal. A draining worker must get no new tasks after two seconds.
	workersPollInterval = 400 * time.Millisecond
)

// Topic names in logs and metrics.
const (
	topicOperator = "operator"
	topicWorkers  = "workers"
	topicMembers  = "members"
)

// follower returns a follower of a topic. If readFor is not nil, the topic is read only
// while it does not return "", and from the start when its result changes.
func (n *Node) follower(cfg registry.Config, s registry.Source, readFor func() string, emit func(context.Context, registry.Update)) *registry.Follower {
	cfg.Timeout = storeTimeout
	f := registry.New(cfg, n.log, s, readFor, emit)
	f.OnCall = func(ok bool) {
		name := meter.StoreReads
		if !ok {
			name = meter.StoreFailures
		}
		n.meter.CountCode(name, cfg.Name, 1)
	}
	n.topics[cfg.Name] = f
	return f
}

// followOperator brings the operator's configuration and evacuations into force.
func (n *Node) followOperator() *registry.Follower {
	return n.follower(registry.Config{Name: topicOperator, Wait: operatorPollWait}, n.platform.Operator, nil, func(ctx context.Context, update registry.Update) {
		if update.Full || len(update.Records) > 0 {
			read := n.operatorRead(update)
			n.enqueue(ctx, func(now time.Time, c *Core) { c.OperatorRead(now, read) })
		}
	})
}

// operatorRead parses what was read of the operator's topic: all evacuations, and the last
// configuration that can be read. Each configuration is complete, so decoding earlier ones
// would only delay the last.
func (n *Node) operatorRead(update registry.Update) OperatorRead {
	read := OperatorRead{Full: update.Full, End: update.Next, Since: update.Since}
	for _, r := range slices.Backward(update.Records) {
		if n.platform.IsCatalog(r) && read.Catalog == nil {
			read.Catalog = n.decodeCatalog(r)
		}
	}
	for _, r := range update.Records {
		if e, ok := n.platform.Evacuation(r); ok {
			read.Evacuations = append(read.Evacuations, e)
		}
	}
	return read
}

// decodeCatalog returns the configuration in a record, or nil if it can't be read.
func (n *Node) decodeCatalog(r registry.Record) *catalog.Catalog {
	c, err := n.platform.Catalog(r)
	if err != nil {
		event.RecordUnreadable.Log(n.log, "topic", topicOperator, "offset", uint64(r.Offset), "error", err)
		return nil
	}
	return c
}

// advertise changes the state that this process advertises to the members.
func (n *Node) advertise(ctx context.Context, change func(*mesh.Member)) {
	n.enqueue(ctx, func(now time.Time, c *Core) { c.Advertise(now, change) })
}

// listReading returns the reads of the list of workers that this process is to make.
func (n *Node) listReading() ListReading {
	if r := n.reading.Load(); r != nil {
		return *r
	}
	return ListReading{}
}

// watchStore advertises whether this process can reach the store.
func (n *Node) watchStore(ctx context.Context) error {
	sub := n.clock.Subscribe(storeCheckInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
			unreachable := n.topics[topicOperator].Down() || n.topics[topicMembers].Down()
			n.advertise(ctx, func(m *mesh.Member) { m.StoreUnreachable = unreachable })
		}
	}
}

// storeCheckInterval is how often watchStore checks the state of the topics.
const storeCheckInterval = 200 * time.Millisecond

// followWorkers reads the workers' records while this process plans, or a planner has asked
// it to.
func (n *Node) followWorkers() *registry.Follower {
	return n.follower(registry.Config{Name: topicWorkers, Pause: workersPollInterval}, n.platform.WorkerList, func() string { return n.listReading().String() }, func(ctx context.Context, update registry.Update) {
		reading := n.listReading()
		if reading.String() != update.Recipient {
			return
		}
		var workers []cell.ListedWorker
		var removed []string
		for _, r := range update.Records {
			if r.Removed {
				removed = append(removed, r.Key)
				continue
			}
			l, err := n.platform.Worker(r)
			if err != nil {
				event.RecordUnreadable.Log(n.log, "topic", topicWorkers, "key", r.Key, "offset", uint64(r.Offset), "error", err)
				continue
			}
			workers = append(workers, l)
		}
		l := cell.WorkerList{Full: update.Full, Workers: workers, Removed: removed}
		n.enqueue(ctx, func(now time.Time, c *Core) { c.WorkersListed(now, reading, update.At, l) })
	})
}

// AddAddresses adds addresses of other processes to try.
func (n *Node) AddAddresses(addrs ...netip.AddrPort) { n.mesh.AddAddresses(addrs...) }
