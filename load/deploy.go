package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/ledger"
	"snipehub.example/operator"
	"snipehub.example/settings"
)

// Running is a deployment whose processes have been started.
type Running struct {
	Deployment
	dir            string
	platform       *process
	workerStandIns []*process
	dispatchers    []*process
	endpoints      []dispatcherEndpoint
}

// ErrInUse means that an address of the deployment is in use, most likely by another run.
var ErrInUse = errors.New("load: address in use")

// readyTimeout bounds the time until one process is ready.
const readyTimeout = 30 * time.Second

// Deploy starts the stand-ins and the dispatchers as processes of this program, and
// applies the tables.
func Deploy(ctx context.Context, d Deployment) (*Running, error) {
	dir, err := os.MkdirTemp("", "snipeload")
	if err != nil {
		return nil, errors.Wrap(err, "deploy")
	}
	r := &Running{Deployment: d, dir: dir, endpoints: d.endpoints()}
	if err := r.startAll(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Running) startAll(ctx context.Context) error {
	if err := r.checkAddressesFree(); err != nil {
		return err
	}
	if err := r.startPlatform(ctx); err != nil {
		return err
	}
	for i := range r.Controls {
		if err := r.startWorkerStandIn(i); err != nil {
			return err
		}
	}
	for i := range r.endpoints {
		if err := r.startDispatcher(i); err != nil {
			return err
		}
	}
	for i, at := range r.Controls {
		if err := r.awaitReady(ctx, r.workerStandIns[i], at, "/stand/starts?view=summary"); err != nil {
			return err
		}
	}
	for i, p := range r.endpoints {
		if err := r.awaitReady(ctx, r.dispatchers[i], p.callerAddr, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// checkAddressesFree returns an error if an address is in use. Otherwise two simultaneous
// runs of a deployment would mix: the processes of the second can't listen and end, while
// those of the first answer on the same addresses, so that the second run would measure
// their load and records.
func (r *Running) checkAddressesFree() error {
	all := append([]netip.AddrPort{r.Platform}, r.Controls...)
	for _, p := range r.endpoints {
		all = append(all, p.callerAddr, p.peerAddr)
	}
	for _, w := range r.Workers {
		all = append(all, w.Address)
	}
	for _, a := range all {
		ln, err := net.Listen("tcp", a.String())
		if err != nil {
			return errors.Wrapf(ErrInUse, "%s: %v", a, err)
		}
		_ = ln.Close()
	}
	return nil
}

func (r *Running) startPlatform(ctx context.Context) error {
	var err error
	r.platform, err = r.start("platform", "snipestand", "log", "--listen", r.Platform.String())
	if err != nil {
		return err
	}
	if err := r.awaitReady(ctx, r.platform, r.Platform, "/stand/counts"); err != nil {
		return err
	}
	if err := r.putVMs(ctx, r.VMs); err != nil {
		return err
	}
	log := ledger.New(r.Platform, r.Platform, 5*time.Second, (&net.Dialer{}).DialContext)
	_, err = operator.Apply(ctx, log, r.rows, "snipeload")
	return err
}

// startWorkerStandIn starts the i-th stand-in for backend servers. Each simulates
// consecutive ones of the list, about equally many: those of a data centre, if there are
// as many stand-ins as data centres.
func (r *Running) startWorkerStandIn(i int) error {
	byCores := make(map[int][]string)
	for n, w := range r.Workers {
		if n*len(r.Controls)/len(r.Workers) == i {
			byCores[w.Cores] = append(byCores[w.Cores], fmt.Sprintf("%s@%g", w.Address, w.Speed))
		}
	}
	if len(byCores) != 1 {
		return errors.Errorf("deploy: the workers of %s differ in cores", r.Controls[i])
	}
	args := []string{"snipestand", "worker", "--control", r.Controls[i].String()}
	for cores, list := range byCores {
		args = append(args, "--cores", strconv.Itoa(cores))
		for _, w := range list {
			args = append(args, "--listen", w)
		}
	}
	p, err := r.start("farm"+itoa(i), args...)
	if err == nil {
		r.workerStandIns = append(r.workerStandIns, p)
	}
	return err
}

func (r *Running) startDispatcher(i int) error {
	b, err := settings.Encode(r.dispatcherSettings(i))
	if err != nil {
		return errors.Wrap(err, "deploy")
	}
	path := filepath.Join(r.dir, "dispatcher"+itoa(i)+".toml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return errors.Wrap(err, "deploy")
	}
	p, err := r.start("dispatcher"+itoa(i), "snipehubd", "--config", path)
	if err == nil {
		r.dispatchers = append(r.dispatchers, p)
	}
	return err
}

func (r *Running) dispatcherSettings(i int) settings.Config {
	cfg, p := r.cfg, r.endpoints[i]
	cfg.Process = settings.Process{DataCenter: p.vm.DataCenter, VM: p.vm.Name, Name: p.name}
	cfg.Listen.Callers, cfg.Listen.Peers = p.callerAddr, p.peerAddr
	cfg.Platform.Log, cfg.Platform.VMs = r.Platform, r.Platform
	cfg.Peers.Seeds, cfg.Peers.Ports = nil, nil
	for j, o := range r.endpoints {
		// The first dispatcher of each VM is a seed.
		if j < len(r.VMs) {
			cfg.Peers.Seeds = append(cfg.Peers.Seeds, o.peerAddr)
		}
		if !slices.Contains(cfg.Peers.Ports, o.peerAddr.Port()) {
			cfg.Peers.Ports = append(cfg.Peers.Ports, o.peerAddr.Port())
		}
	}
	cfg.Callers.Open, cfg.Callers.Tokens = false, nil
	for _, c := range r.Callers {
		sum := sha256.Sum256([]byte(c.Token))
		cfg.Callers.Tokens = append(cfg.Callers.Tokens,
			settings.Token{Caller: c.Name, Team: c.Team, SHA256: hex.EncodeToString(sum[:])})
	}
	return cfg
}

func (r *Running) start(name string, args ...string) (*process, error) {
	return startProcess(filepath.Join(r.dir, name+".log"), args...)
}

// awaitReady waits until the address answers a request of the path with status 200.
func (r *Running) awaitReady(ctx context.Context, p *process, at netip.AddrPort, path string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answered := get(ctx, at, path, nil) == nil
		if answered && p.alive() {
			return nil
		}
		if !p.alive() || !clock.Sleep(ctx, 20*time.Millisecond) {
			return errors.Errorf("%s%s does not get ready: %s", at, path, r.outputs())
		}
	}
}

// outputs returns the end of each process's output.
func (r *Running) outputs() string {
	paths, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	var s string
	for _, p := range paths {
		if t := outputTail(p); t != "" {
			s += "\n" + filepath.Base(p) + ": " + t
		}
	}
	return s[:min(len(s), 4*maxOutputBytes)]
}

// Close kills all processes and removes their files.
func (r *Running) Close() {
	all := slices.Concat(r.dispatchers, r.workerStandIns)
	if r.platform != nil {
		all = append(all, r.platform)
	}
	for _, p := range all {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
	_ = os.RemoveAll(r.dir)
}
