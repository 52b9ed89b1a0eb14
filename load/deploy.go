package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
	"snipehub.example/operator"
	"snipehub.example/tables"
)

// Plan says what to bring up.
type Plan struct {
	Dispatchers, Workers, Cores int
	Min, Max                    time.Duration
}

// Deployment is a set of running processes.
type Deployment struct {
	plan    Plan
	dir     string
	procs   []*exec.Cmd
	log     netip.AddrPort
	Workers []netip.AddrPort
	Callers []netip.AddrPort
}

// Deploy brings up the stand-ins and the dispatchers of the plan, as processes
// of this program, and loads tables that route the kind "demo" to all workers.
func Deploy(ctx context.Context, p Plan) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "snipeload")
	if err != nil {
		return nil, errors.Wrap(err, "deploy")
	}
	d := &Deployment{plan: p, dir: dir}
	if err := d.up(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) up(ctx context.Context) error {
	ports, err := freePorts(1 + d.plan.Workers + 2*d.plan.Dispatchers)
	if err != nil {
		return err
	}
	d.log = ports[0]
	d.Workers = ports[1 : 1+d.plan.Workers]
	rest := ports[1+d.plan.Workers:]
	if err := d.start("snipestand", "log", "--listen", d.log.String()); err != nil {
		return err
	}
	for _, w := range d.Workers {
		err := d.start("snipestand", "worker", "--listen", w.String(), "--cores", fmt.Sprint(d.plan.Cores),
			"--min", d.plan.Min.String(), "--max", d.plan.Max.String())
		if err != nil {
			return err
		}
	}
	for i := range d.plan.Dispatchers {
		d.Callers = append(d.Callers, rest[2*i])
		if err := d.startDispatcher(i, rest[2*i], rest[2*i+1], rest[1]); err != nil {
			return err
		}
	}
	if err := await(ctx, d.log, "/v1/vms"); err != nil {
		return err
	}
	if _, err := operator.Apply(ctx, ledger.New(d.log, d.log, 5*time.Second, (&net.Dialer{}).DialContext), d.rows(), "demo"); err != nil {
		return err
	}
	for _, a := range append(d.Callers, d.Workers...) {
		path := "/readyz"
		if !contains(d.Callers, a) {
			path = "/stand/starts"
		}
		if err := await(ctx, a, path); err != nil {
			return err
		}
	}
	return nil
}

func contains(all []netip.AddrPort, a netip.AddrPort) bool {
	for _, o := range all {
		if o == a {
			return true
		}
	}
	return false
}

func (d *Deployment) rows() tables.Rows {
	r := tables.Rows{
		Routes: []tables.Route{{Kind: "demo", Half: "north", Pool: "north-demo"}},
		Pools:  []tables.Pool{{Name: "north-demo", Half: "north"}},
	}
	for _, w := range d.Workers {
		r.Servers = append(r.Servers, tables.Server{Pool: "north-demo", Address: w, DataCenter: "dc1", Slots: d.plan.Cores})
	}
	return r
}

func (d *Deployment) startDispatcher(i int, callers, peers, seed netip.AddrPort) error {
	name := fmt.Sprintf("hub%d", i)
	path := filepath.Join(d.dir, name+".toml")
	text := fmt.Sprintf(`[process]
data_center = "dc1"
vm = "vm%d"
name = %q
[listen]
callers = %q
peers = %q
[platform]
log = %q
vms = %q
[peers]
seeds = [%q]
[callers]
open = true
`, i, name, callers, peers, d.log, d.log, seed)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "deploy")
	}
	return d.start("snipehubd", "--config", path)
}

func (d *Deployment) start(args ...string) error {
	exe, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "deploy")
	}
	cmd := exec.Command(exe, args...)
	out, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", args[0], len(d.procs))))
	if err != nil {
		return errors.Wrap(err, "deploy")
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "deploy")
	}
	_ = out.Close()
	d.procs = append(d.procs, cmd)
	return nil
}

// Close ends all processes.
func (d *Deployment) Close() {
	for i := len(d.procs) - 1; i >= 0; i-- {
		_ = d.procs[i].Process.Kill()
		_ = d.procs[i].Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// await asks for the path until it is answered with 200.
func await(ctx context.Context, a netip.AddrPort, path string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
		if err != nil {
			return errors.Wrap(err, "await")
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s%s does not get ready", a, path)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// freePorts finds n ports of the loopback address that are free now.
func freePorts(n int) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, n)
	for i := range out {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "ports")
		}
		defer func() { _ = ln.Close() }()
		out[i] = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	return out, nil
}
