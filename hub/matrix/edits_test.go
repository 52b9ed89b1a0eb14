//go:build !race || matrix

package matrix_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"snipehub.example/hub"
	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// change is what an operator may change in the tables of a system.
type change struct {
	// pool is the pool to which the kind "check" is routed.
	pool string
	// moved assigns the second backend server of each data centre to "south".
	moved bool
	// leaving marks the first backend server of the first data centre as leaving.
	leaving bool
}

// setDesired records the change that the scenario's operator makes, so that raceOperators
// keeps it.
func (w *system) setDesired(c change) change {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.desired = c
	return c
}

func (w *system) desiredChange() change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desired
}

// rows returns tables that route the kind "check" to a pool of the half "north" and
// "menu" to that of "south". Both pools of "north" have the same servers.
func (w *system) rows(c change) tables.Rows {
	r := tables.Rows{
		Routes: []tables.Route{
			{Kind: "check", Half: "north", Pool: c.pool},
			{Kind: keyedKind + "-job", Half: "north", Pool: c.pool},
			{Kind: "menu", Half: "south", Pool: "pool-s"},
		},
		Pools: []tables.Pool{
			{Name: "pool-a", Half: "north"},
			{Name: "pool-b", Half: "north"},
			{Name: "pool-s", Half: "south"},
		},
	}
	for i, k := range w.workers {
		pools := []string{"pool-a", "pool-b"}
		if n := i % workersPerDC; n == 2 || n == 1 && c.moved {
			pools = []string{"pool-s"}
		}
		for _, p := range pools {
			r.Servers = append(r.Servers, tables.Server{
				Pool: p, Address: k.address(), DataCenter: k.dc, Slots: coresPerWorker, Leaving: i == 0 && c.leaving,
			})
		}
	}
	return r
}

// append appends an edit to the log as an operator does and returns its offset. It
// returns false if the operator gets no answer.
func (w *system) append(base tables.Version, put tables.Rows) (tables.Version, bool) {
	e := tables.Edit{ID: uuid.NewString(), Base: base, Author: "test", At: time.Now(), Put: put}
	b, err := json.Marshal(e)
	if err != nil {
		w.t.Fatal(err)
	}
	status, out, err := w.do(http.MethodPost, "http://"+platformAddr+"/v1/streams/"+tables.Stream, b, nil)
	var got struct {
		Offset tables.Version `json:"offset"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(out, &got) != nil {
		return ledger.None, false
	}
	return got.Offset, true
}

// appendInitialTables appends the tables with which the system starts.
func (w *system) appendInitialTables(r tables.Rows) {
	if _, ok := w.append(ledger.None, r); !ok {
		w.t.Fatal("the first edit failed")
	}
}

// version requests a dispatcher's tables version and checks that it never decreases
// within one incarnation.
func (w *system) version(n *node) (tables.Version, bool) {
	_, b, err := w.do(http.MethodGet, n.callerURL()+"/status", nil, nil)
	var s hub.Status
	if err != nil || json.Unmarshal(b, &s) != nil {
		return ledger.None, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprint(n.ip, s.Self.Owner.Incarnation)
	if s.Tables < w.highest[key] {
		w.t.Errorf("dispatcher %s: tables version went from %d down to %d", n.ip, w.highest[key], s.Tables)
	}
	w.highest[key] = s.Tables
	return s.Tables, true
}
