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

// dispatcherReport is a dispatcher's entry in the answer to /status/all. Status is nil if
// that dispatcher did not answer.
type dispatcherReport struct {
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

func (r dispatcherReport) name() string {
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
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	reports, err := fetchReports(ctx, c)
	if err != nil {
		return err
	}
	if err := printResult(c, reports, func(w io.Writer) { writeReports(w, reports) }); err != nil {
		return err
	}
	var unanswered []string
	for _, r := range reports {
		if r.Status == nil {
			unanswered = append(unanswered, r.name())
		}
	}
	if len(unanswered) > 0 {
		return cli.Exit("no answer from "+strings.Join(unanswered, ", "), ExitPending)
	}
	return nil
}

func writeReports(w io.Writer, reports []dispatcherReport) {
	fmt.Fprintf(w, "%-32s %-8s %-8s %-8s %-6s %s\n", "dispatcher", "state", "tables", "age", "ready", "peers' address")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%-32s %-8s no answer: %s\n", r.name(), r.State, r.Error)
			continue
		}
		age := time.Duration(r.Status.TablesAgeMS) * time.Millisecond
		fmt.Fprintf(w, "%-32s %-8s %-8d %-8s %-6t %s\n", r.name(), r.State, r.Status.Tables, age.Round(100*time.Millisecond), r.Status.Ready, r.Member.Address)
	}
}

// maxStatusBytes bounds the size of a dispatcher's answer.
const maxStatusBytes = 64 << 20

// fetchReports fetches the reports on all dispatchers from the one given by --dispatcher.
func fetchReports(ctx context.Context, c *cli.Command) ([]dispatcherReport, error) {
	hc, scheme, err := httpClient(c.String("ca"))
	if err != nil {
		return nil, usageError(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+c.String("dispatcher")+"/status/all", nil)
	if err != nil {
		return nil, usageError(errors.Wrap(err, "dispatcher"))
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status: %s answers %s; is this its operators' address (listen.operators)?", c.String("dispatcher"), resp.Status)
	}
	var reports []dispatcherReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&reports); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return reports, nil
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

// rollout is the result that --wait prints.
type rollout struct {
	Outcome
	// InForce and Pending are names of dispatchers.
	InForce []string `json:"in_force"`
	Pending []string `json:"pending,omitempty"`
	// Suspect are dispatchers that have not answered the other dispatchers either; they
	// are not waited for.
	Suspect []string `json:"suspect,omitempty"`
}

// rolloutPollInterval is the pause between two requests for the reports.
const rolloutPollInterval = 200 * time.Millisecond

// awaitRollout waits until every live dispatcher reports that the version is in force. If
// the context ends first, it names those that have not.
func awaitRollout(ctx context.Context, c *cli.Command, o Outcome) error {
	ro := rollout{Outcome: o}
	for {
		reports, err := fetchReports(ctx, c)
		if err == nil {
			ro = newRollout(o, reports)
		}
		if err == nil && len(ro.Pending) == 0 {
			return printResult(c, ro, ro.write)
		}
		if clock.Sleep(ctx, rolloutPollInterval) {
			continue
		}
		if len(ro.InForce)+len(ro.Pending) == 0 {
			return cli.Exit(fmt.Sprintf("version %d is on the log, but no dispatcher could be asked: %v", o.Version, err), ExitPending)
		}
		_ = printResult(c, ro, ro.write)
		return cli.Exit("not in force on "+strings.Join(ro.Pending, ", "), ExitPending)
	}
}

func newRollout(o Outcome, reports []dispatcherReport) rollout {
	ro := rollout{Outcome: o}
	for _, r := range reports {
		switch {
		case r.Status != nil && r.Status.Tables >= o.Version:
			ro.InForce = append(ro.InForce, r.name())
		case r.State == roster.Suspect:
			ro.Suspect = append(ro.Suspect, r.name())
		default:
			ro.Pending = append(ro.Pending, r.name())
		}
	}
	return ro
}

// write writes a line for each group of dispatchers.
func (ro rollout) write(w io.Writer) {
	fmt.Fprintf(w, "version %d in force on %s\n", ro.Version, strings.Join(ro.InForce, ", "))
	if len(ro.Pending) > 0 {
		fmt.Fprintf(w, "not yet on %s\n", strings.Join(ro.Pending, ", "))
	}
	if len(ro.Suspect) > 0 {
		fmt.Fprintf(w, "suspect, not waited for: %s\n", strings.Join(ro.Suspect, ", "))
	}
}
