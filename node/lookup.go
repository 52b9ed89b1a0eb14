package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// A job is kept by the process that accepted it, but a request for its state, or to cancel it,
// can reach any process: after a retry, or when processes join or leave. That process asks the
// planner of its cell, which knows the processes of all jobs of its cell, and then the process
// that has the job. Where there are several cells, it also asks the planners of its data
// centre's other cells and one planner of each other data centre, which asks those there. So
// the number of messages depends neither on the number of processes nor on that of jobs.
//
// "No such job" is said only if everybody who was asked knows that. A process that is out of
// the planner's sight, but not known to be dead, may have the job.
const (
	// lookupTimeout is how long a lookup may take, and lookupRetryInterval the pause between
	// two attempts: the planner may have died, or just begun.
	lookupTimeout       = 1500 * time.Millisecond
	lookupRetryInterval = 200 * time.Millisecond
)

// lookupScope is where the recipient of a query looks for the job.
type lookupScope int

const (
	// inProcess: only at the recipient, which a planner has named.
	inProcess lookupScope = iota
	// inCell: in the cell that the recipient plans.
	inCell
	// inDataCenter: in all cells of the recipient's data centre.
	inDataCenter
	// inDeployment: everywhere.
	inDeployment
)

// JobQuery asks a process for a job, and to cancel it if Cancel is set.
type JobQuery struct {
	Lookup uint64      `cbor:"1,keyasint,omitzero"`
	Job    string      `cbor:"2,keyasint,omitzero"`
	Cancel bool        `cbor:"3,keyasint,omitzero"`
	Scope  lookupScope `cbor:"4,keyasint,omitzero"`
}

// JobReply answers a JobQuery: with the state of the job, or with its owner, which has to be
// asked.
type JobReply struct {
	Lookup uint64         `cbor:"1,keyasint,omitzero"`
	State  entry.JobState `cbor:"2,keyasint,omitzero"`
	Owner  mesh.ID        `cbor:"3,keyasint,omitzero"`
}

// Located is the result of a lookup for a caller.
type Located struct {
	Waiter entry.Waiter
	State  entry.JobState
}

// lookup is a search for a job that is not at this process.
type lookup struct {
	job    string
	cancel bool
	scope  lookupScope
	// waiter is the caller that waits. If origin is set, another process does instead.
	waiter       entry.Waiter
	origin       mesh.ID
	originLookup uint64
	// asked are the processes that have not answered.
	asked map[mesh.ID]struct{}
	// undetermined is set if one of those asked could not tell.
	undetermined     bool
	retryAt, expires time.Time
}

// Locate looks for a job, and cancels it if cancel is set. The result is an output.
func (c *Core) Locate(now time.Time, w entry.Waiter, job string, cancel bool) {
	c.beginLookup(now, &lookup{job: job, cancel: cancel, scope: inDeployment, waiter: w})
}

func (c *Core) beginLookup(now time.Time, l *lookup) {
	l.expires = now.Add(lookupTimeout)
	c.lastLookup++
	c.lookups[c.lastLookup] = l
	c.ask(now, c.lastLookup, l)
}

// ask begins an attempt.
func (c *Core) ask(now time.Time, number uint64, l *lookup) {
	if s := c.localState(now, l.job, l.cancel); s.Knowledge == entry.Present {
		c.endLookup(now, number, s)
		return
	}
	if c.ending {
		c.endLookup(now, number, entry.JobState{})
		return
	}
	queries := c.lookupQueries(l)
	l.asked, l.undetermined, l.retryAt = make(map[mesh.ID]struct{}), false, time.Time{}
	for id := range queries {
		l.asked[id] = struct{}{}
	}
	for _, id := range sortedIDs(queries) {
		c.send(now, id, Message{JobQuery: &JobQuery{number, l.job, l.cancel, queries[id]}})
	}
}

// localState returns the state of a job at this process, and cancels it if cancel is set.
func (c *Core) localState(now time.Time, job string, cancel bool) entry.JobState {
	s := c.entry.State(job)
	if cancel {
		c.entry.Cancel(now, job)
	}
	if cancel && s.Knowledge == entry.Present {
		c.jobCancelled(now, job, s.Status)
	}
	return s
}

// lookupQueries returns whom to ask for a job, and where they are to look for it. Cells none of
// whose processes can be reached are left out.
func (c *Core) lookupQueries(l *lookup) map[mesh.ID]lookupScope {
	queries := map[mesh.ID]lookupScope{c.planner: inCell}
	dataCenters := make(map[string]struct{})
	for _, id := range c.knownCells() {
		planner, ok := c.plannerOf(id)
		_, asked := dataCenters[id.dataCenter]
		switch {
		case !ok || asked:
		case id.dataCenter == c.self.DataCenter:
			queries[planner] = inCell
		case l.scope == inDeployment:
			queries[planner] = inDataCenter
			dataCenters[id.dataCenter] = struct{}{}
		}
	}
	return queries
}

// knownCells returns the other cells that are listed or have a session with this process.
func (c *Core) knownCells() []cellID {
	var cells []cellID
	for id := range c.otherCells {
		cells = append(cells, id)
	}
	for id := range c.foreign {
		if !slices.Contains(cells, id) {
			cells = append(cells, id)
		}
	}
	slices.SortFunc(cells, cellID.compare)
	return cells
}

// answerJobQuery answers the query of a process that looks for a job.
func (c *Core) answerJobQuery(now time.Time, from mesh.ID, q JobQuery) {
	reply := JobReply{Lookup: q.Lookup, State: c.localState(now, q.Job, q.Cancel)}
	switch {
	case reply.State.Knowledge == entry.Present, q.Scope == inProcess:
	case !c.cell.Active():
		reply.State.Knowledge = entry.Undetermined
	case q.Scope == inCell:
		reply.State.Knowledge, reply.Owner = c.knowledgeInCell(now, q.Job)
	default:
		c.beginLookup(now, &lookup{job: q.Job, cancel: q.Cancel, scope: inDataCenter, origin: from, originLookup: q.Lookup})
		return
	}
	c.send(now, from, Message{JobReply: &reply})
}

// knowledgeInCell returns what this process knows as the planner of a job that it does not have:
// the owner, if that is to be asked. An owner of this cell that is out of reach may go on with
// the job until the job's deadline, whether the store lists it or not: it may have deleted its
// record to stop as planned, or have joined so recently that it was not read yet.
func (c *Core) knowledgeInCell(now time.Time, job string) (entry.Knowledge, mesh.ID) {
	owner, known := c.cell.Owner(job)
	_, reachable := c.members[owner]
	switch {
	case known && (reachable || c.layout.divided && !c.inOwnCell(owner)):
		return entry.Undetermined, owner
	case known && (owner == c.self.ID || c.isReplaced(owner)):
		// The owner has ended the job, or has ended itself.
		return entry.Absent, mesh.ID{}
	case !known && c.quorum && len(c.missing) == 0 && c.cell.KnowsAllJobs(now):
		return entry.Absent, mesh.ID{}
	}
	return entry.Undetermined, mesh.ID{}
}

// isReplaced reports whether another process is reachable at a process's address, which only one
// at a time can bind.
func (c *Core) isReplaced(id mesh.ID) bool {
	for o := range c.members {
		if o.Address == id.Address && o != id {
			return true
		}
	}
	return false
}

// handleJobReply handles the answer of a process that was asked for a job.
func (c *Core) handleJobReply(now time.Time, from mesh.ID, r JobReply) {
	l := c.lookups[r.Lookup]
	if l == nil {
		return
	}
	if _, asked := l.asked[from]; !asked {
		return
	}
	delete(l.asked, from)
	switch {
	case r.State.Knowledge == entry.Present:
		c.endLookup(now, r.Lookup, r.State)
		return
	case r.Owner == c.self.ID:
		// It would have been found here.
	case r.Owner != (mesh.ID{}):
		l.asked[r.Owner] = struct{}{}
		c.send(now, r.Owner, Message{JobQuery: &JobQuery{r.Lookup, l.job, l.cancel, inProcess}})
	case r.State.Knowledge == entry.Undetermined:
		l.undetermined = true
	}
	c.checkLookup(now, r.Lookup, l)
}

// checkLookup ends a lookup, or schedules the next attempt, once nobody is left who has to
// answer.
func (c *Core) checkLookup(now time.Time, number uint64, l *lookup) {
	switch {
	case len(l.asked) > 0 || c.lookups[number] != l || !l.retryAt.IsZero():
	case l.undetermined:
		l.retryAt = now.Add(lookupRetryInterval)
	default:
		c.endLookup(now, number, entry.JobState{Knowledge: entry.Absent})
	}
}

func (c *Core) endLookup(now time.Time, number uint64, s entry.JobState) {
	l := c.lookups[number]
	delete(c.lookups, number)
	if l.origin != (mesh.ID{}) {
		c.send(now, l.origin, Message{JobReply: &JobReply{Lookup: l.originLookup, State: s}})
		return
	}
	if l.cancel && l.asked != nil && s.Knowledge != entry.Undetermined {
		c.jobCancelled(now, l.job, s.Status)
	}
	if l.asked != nil && (l.cancel || s.Knowledge == entry.Undetermined) {
		event.JobLocated.Log(c.log, "job", l.job, "cancel", l.cancel, "knowledge", s.Knowledge, "took_ms", lookupTimeout.Milliseconds()-l.expires.Sub(now).Milliseconds())
	}
	c.out = append(c.out, Output{Located: &Located{l.waiter, s}})
}

// updateLookups repeats the attempts that could not tell, and gives up lookups that take too
// long.
func (c *Core) updateLookups(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(c.lookups)) {
		l := c.lookups[number]
		c.dropUnreachable(now, number, l)
		switch {
		case c.lookups[number] != l:
		case !now.Before(l.expires):
			c.endLookup(now, number, entry.JobState{})
		case !l.retryAt.IsZero() && !now.Before(l.retryAt):
			c.ask(now, number, l)
		}
	}
}

// dropUnreachable no longer waits for processes without a session.
func (c *Core) dropUnreachable(now time.Time, number uint64, l *lookup) {
	for id := range l.asked {
		_, connected := c.members[id]
		if _, opening := c.onDemand[id]; !connected && !opening && id != c.self.ID {
			delete(l.asked, id)
			l.undetermined = true
		}
	}
	c.checkLookup(now, number, l)
}
