package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/clock"
	"snipehub.example/roster"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// report is what a dispatcher says of another one, or of itself. Status is nil
// for one that did not answer.
type report struct {
	Member struct {
		Owner   ticket.Owner `json:"owner"`
		Address string       `json:"address"`
	} `json:"member"`
	State  roster.State `json:"state"`
	Error  string       `json:"error,omitempty"`
	Status *struct {
		Tables      tables.Version `json:"tables"`
		TablesAgeMS int64          `json:"tables_age_ms"`
		Ready       bool           `json:"ready"`
	} `json:"status,omitempty"`
}

func (r report) name() string {
	o := r.Member.Owner
	return o.DataCenter + "." + o.VM + "." + o.Process
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show tables, age and state of every dispatcher",
		Description: "Asks one dispatcher, which asks all that it knows. Exit code 4 if one of them\n" +
			"did not answer.",
		Flags:  []cli.Flag{dispatcherFlag, caFlag, jsonFlag, timeoutFlag},
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	ctx, cancel := bounded(ctx, c)
	defer cancel()
	all, err := ask(ctx, c)
	if err != nil {
		return err
	}
	if err := out(c, all, func(w io.Writer) { writeReports(w, all) }); err != nil {
		return err
	}
	var silent []string
	for _, r := range all {
		if r.Status == nil {
			silent = append(silent, r.name())
		}
	}
	if len(silent) > 0 {
		return cli.Exit("no answer from "+strings.Join(silent, ", "), ExitPending)
	}
	return nil
}

func writeReports(w io.Writer, all []report) {
	fmt.Fprintf(w, "%-32s %-8s %-8s %-8s %-6s %s\n", "dispatcher", "state", "tables", "age", "ready", "peers' address")
	for _, r := range all {
		if r.Status == nil {
			fmt.Fprintf(w, "%-32s %-8s no answer: %s\n", r.name(), r.State, r.Error)
			continue
		}
		age := time.Duration(r.Status.TablesAgeMS) * time.Millisecond
		fmt.Fprintf(w, "%-32s %-8s %-8d %-8s %-6t %s\n", r.name(), r.State, r.Status.Tables, age.Round(100*time.Millisecond), r.Status.Ready, r.Member.Address)
	}
}

// maxStatus bounds the answer of a dispatcher.
const maxStatus = 64 << 20

// ask gets the reports of all dispatchers from the one of the flags.
func ask(ctx context.Context, c *cli.Command) ([]report, error) {
	hc, scheme, err := httpClient(c.String("ca"))
	if err != nil {
		return nil, usage(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+c.String("dispatcher")+"/status/all", nil)
	if err != nil {
		return nil, usage(errors.Wrap(err, "dispatcher"))
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status: %s answers %s; is this its operators' address (listen.operators)?", c.String("dispatcher"), resp.Status)
	}
	var all []report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&all); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return all, nil
}

func httpClient(ca string) (*http.Client, string, error) {
	if ca == "" {
		return &http.Client{Transport: &http.Transport{}}, "http://", nil
	}
	text, err := os.ReadFile(ca)
	if err != nil {
		return nil, "", errors.Wrap(err, "ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, "", errors.Errorf("ca: %s: no certificate in it", ca)
	}
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Transport: tr}, "https://", nil
}

// force is what --wait tells.
type force struct {
	Outcome
	// InForce and Pending are the names of dispatchers.
	InForce []string `json:"in_force"`
	Pending []string `json:"pending,omitempty"`
	// Suspect have been silent for the others as well, and are not waited
	// for.
	Suspect []string `json:"suspect,omitempty"`
}

// awaitEvery is the pause between two looks at the dispatchers.
const awaitEvery = 200 * time.Millisecond

// awaitForce waits until every live dispatcher says that the version is in
// force, and names those that have not.
func awaitForce(ctx context.Context, c *cli.Command, o Outcome) error {
	f := force{Outcome: o}
	for {
		all, err := ask(ctx, c)
		if err == nil {
			f = judge(o, all)
		}
		if err == nil && len(f.Pending) == 0 {
			return out(c, f, f.write)
		}
		if clock.Sleep(ctx, awaitEvery) {
			continue
		}
		if len(f.InForce)+len(f.Pending) == 0 {
			return cli.Exit(fmt.Sprintf("version %d is on the log, but no dispatcher could be asked: %v", o.Version, err), ExitPending)
		}
		_ = out(c, f, f.write)
		return cli.Exit("not in force on "+strings.Join(f.Pending, ", "), ExitPending)
	}
}

func judge(o Outcome, all []report) force {
	f := force{Outcome: o}
	for _, r := range all {
		switch {
		case r.Status != nil && r.Status.Tables >= o.Version:
			f.InForce = append(f.InForce, r.name())
		case r.State == roster.Suspect:
			f.Suspect = append(f.Suspect, r.name())
		default:
			f.Pending = append(f.Pending, r.name())
		}
	}
	return f
}

// write writes a line for each group of dispatchers.
func (f force) write(w io.Writer) {
	fmt.Fprintf(w, "version %d in force on %s\n", f.Version, strings.Join(f.InForce, ", "))
	if len(f.Pending) > 0 {
		fmt.Fprintf(w, "not yet on %s\n", strings.Join(f.Pending, ", "))
	}
	if len(f.Suspect) > 0 {
		fmt.Fprintf(w, "suspect, not waited for: %s\n", strings.Join(f.Suspect, ", "))
	}
}
