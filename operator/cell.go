package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/mesh"
	"snipehub.example/node"
)

func cellCommand() *cli.Command {
	return &cli.Command{
		Name:  "cell",
		Usage: "on the platform: show who plans, who holds which worker, versions and ages",
		Description: "Asks one process of the cell, and the planner that it names. Exit code 4 if the\n" +
			"planner did not answer.",
		Flags:  []cli.Flag{dispatcherFlag, jsonFlag, timeoutFlag},
		Action: showCell,
	}
}

func showCell(ctx context.Context, c *cli.Command) error {
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	address := c.String("dispatcher")
	s, err := fetchNodeStatus(ctx, address)
	if err != nil {
		return err
	}
	planner, err := fetchPlannerStatus(ctx, s, address)
	// Without an answer from the planner, the rest is printed all the same.
	if err := printResult(c, []node.Status{s, planner}, func(w io.Writer) { writeCell(w, s, planner) }); err != nil {
		return err
	}
	if err != nil {
		return cli.Exit("no answer from the planner: "+err.Error(), ExitPending)
	}
	return nil
}

// fetchPlannerStatus fetches the status of the planner that s names, from the planner's
// own machine, at the port of address.
func fetchPlannerStatus(ctx context.Context, s node.Status, address string) (node.Status, error) {
	if s.IsPlanner || s.Planner == (mesh.ID{}) {
		return s, nil
	}
	port := address[strings.LastIndexByte(address, ':')+1:]
	return fetchNodeStatus(ctx, s.Planner.Address.Addr().String()+":"+port)
}

func fetchNodeStatus(ctx context.Context, address string) (node.Status, error) {
	var s node.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return s, usageError(errors.Wrap(err, "dispatcher"))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return s, errors.Wrap(err, "cell")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("cell: %s answers %s; is this the metrics address of a process?", address, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, errors.Wrap(err, "cell")
	}
	return s, nil
}

func writeCell(w io.Writer, s, planner node.Status) {
	fmt.Fprintf(w, "%-32s %-12s %-6s %-8s %-8s %s\n", "process", "data centre", "share", "number", "catalog", "")
	for _, m := range s.Members {
		var notes []string
		if m.ID == s.Planner {
			notes = append(notes, "plans")
		}
		if m.Leaving {
			notes = append(notes, "leaving")
		}
		if m.StoreUnreachable {
			notes = append(notes, "does not reach the store")
		}
		fmt.Fprintf(w, "%-32s %-12s %-6g %-8d %-8d %s\n", m.VM, m.DataCenter, m.Cores, m.Number, m.Catalog, strings.Join(notes, ", "))
	}
	writeLayout(w, s.Layout)
	writeStoreAges(w, s.StoreAge)
	for _, e := range s.Evacuations.Requested {
		fmt.Fprintf(w, "evacuated: %s, requested at offset %d; no tasks are started there\n", e.DataCenter, e.Offset)
	}
	if planner.Cell == nil {
		return
	}
	writeHolders(w, s.Members, planner)
}

func writeLayout(w io.Writer, l node.LayoutStatus) {
	if !l.Divided {
		fmt.Fprintf(w, "one cell; the store lists %d processes\n", l.Listed)
		return
	}
	fmt.Fprintf(w, "cell %d of %d in this data centre; the store lists %d processes, %d of this cell\n", l.Part, l.Cells, l.Listed, l.ListedInCell)
	for _, o := range l.Others {
		planner, link := "none reachable", ""
		if o.Planner != (mesh.ID{}) {
			planner = o.Planner.Address.String()
		}
		if o.Connected {
			link = ", connected"
		}
		fmt.Fprintf(w, "cell %d of %s: planner %s%s\n", o.Part, o.DataCenter, planner, link)
	}
}

func writeStoreAges(w io.Writer, ages map[string]time.Duration) {
	names := make([]string, 0, len(ages))
	for n := range ages {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(w, "store, %s: read %s ago\n", n, ages[n].Round(10*time.Millisecond))
	}
}

func writeHolders(w io.Writer, members []mesh.Member, planner node.Status) {
	vm := make(map[mesh.ID]string, len(members))
	for _, m := range members {
		vm[m.ID] = m.VM
	}
	c := planner.Cell
	fmt.Fprintf(w, "\n%d steps wait; %d workers take tasks, %.1f cores free\n", c.Waiting, c.Workers, c.FreeCores)
	fmt.Fprintf(w, "%-20s %-32s %-10s %-6s %-5s %-7s %s\n", "worker", "holder", "for", "term", "runs", "factor", "")
	for _, h := range c.Holders {
		var notes []string
		for note, applies := range map[string]bool{"not open": !h.Open, "draining": h.Draining, "evacuated": h.Evacuated, "not listed": !h.Listed, fmt.Sprintf("%d bad in a row", h.Speed.BadJobs): h.Speed.BadJobs > 0} {
			if applies {
				notes = append(notes, note)
			}
		}
		slices.Sort(notes)
		fmt.Fprintf(w, "%-20s %-32s %-10s %-6d %-5d %-7.2f %s\n", h.Worker, vm[h.Holder], h.For.Round(100*time.Millisecond), h.Fence.Term(), h.Runs, h.Speed.Factor, strings.Join(notes, ", "))
	}
}
