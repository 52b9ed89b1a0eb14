package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
	"snipehub.example/node"
)

// The cell command shows the planner, the holder of each worker and what is wrong with
// either.
func TestCell(t *testing.T) {
	var s node.Status
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(s)
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	id := mesh.ID{Address: netip.MustParseAddrPort("127.0.0.1:7000"), Boot: 5}
	s = node.Status{
		Planner: id, IsPlanner: true,
		Members: []mesh.Member{{ID: id, VM: "vm1", DataCenter: "dc1", Cores: 0.4, Number: 3, Catalog: 7, StoreUnreachable: true}},
		Layout: node.LayoutStatus{Divided: true, Cells: 2, Part: 1, Listed: 140, ListedInCell: 33, Others: []node.OtherCell{
			{DataCenter: "dc2", Planner: id, Connected: true}, {DataCenter: "dc3"},
		}},
		StoreAge: map[string]time.Duration{"operator": 1500 * time.Millisecond},
		Cell: &cell.View{Waiting: 2, Workers: 1, FreeCores: 1.5, Holders: []cell.HeldWorker{
			{Worker: "i-1", Holder: id, For: 2 * time.Second, Fence: lease.NewFence(3), Open: true, Listed: true, Runs: 2, Speed: lease.Speed{Factor: 0.6, BadJobs: 3}},
			{Worker: "i-2", Holder: id, Fence: lease.NewFence(3), Draining: true},
		}},
	}
	got, err := fetchNodeStatus(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	planner, err := fetchPlannerStatus(t.Context(), got, address)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	writeCell(&b, got, planner)
	for _, want := range []string{
		"plans, does not reach the store", "store, operator: read 1.5s ago", "2 steps wait; 1 workers take tasks, 1.5 cores free",
		"cell 1 of 2 in this data centre; the store lists 140 processes, 33 of this cell",
		"cell 0 of dc2: planner 127.0.0.1:7000, connected", "cell 0 of dc3: planner none reachable",
		"3 bad in a row", "draining, not listed, not open",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
	srv.Config.Handler = http.NotFoundHandler()
	if _, err := fetchNodeStatus(t.Context(), address); err == nil || !strings.Contains(err.Error(), "metrics address") {
		t.Errorf("error %v", err)
	}
}
