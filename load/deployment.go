package load

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"snipehub.example/operator"
	"snipehub.example/settings"
	"snipehub.example/tables"
)

// Deployment describes the processes to start. It is read from a file under examples/.
type Deployment struct {
	Name string `toml:"name"`
	// Settings and Tables are paths relative to the deployment file.
	Settings string `toml:"settings"`
	Tables   string `toml:"tables"`
	// Platform is the address of the platform stand-in, which serves the log and the VM
	// list.
	Platform netip.AddrPort `toml:"platform"`
	// Dispatchers is the number of dispatcher processes, which are assigned to the VMs in
	// turn. On each VM their ports count up from CallerPort and PeerPort.
	Dispatchers int    `toml:"dispatchers"`
	CallerPort  uint16 `toml:"caller_port"`
	PeerPort    uint16 `toml:"peer_port"`
	// Controls are the control addresses of the processes that stand in for the backend
	// servers, one for each data centre.
	Controls []netip.AddrPort `toml:"controls"`
	VMs      []VM             `toml:"vms"`
	Callers  []Caller         `toml:"callers"`
	Workers  []Worker         `toml:"workers"`

	cfg  settings.Config
	rows tables.Rows
	// presetEndpoints replaces the endpoints that follow from VMs, if set.
	presetEndpoints []dispatcherEndpoint
}

// Caller is a submitter of jobs, with its share of all jobs.
type Caller struct {
	Name  string  `toml:"name"`
	Team  string  `toml:"team"`
	Token string  `toml:"token"`
	Share float64 `toml:"share"`
}

// VM is an entry VM: a loopback address that several dispatchers share.
type VM struct {
	Name       string     `toml:"name"`
	Address    netip.Addr `toml:"address"`
	DataCenter string     `toml:"data_center"`
}

// Worker is a backend server that a stand-in simulates.
type Worker struct {
	Address    netip.AddrPort `toml:"address"`
	Rack       string         `toml:"rack"`
	DataCenter string         `toml:"data_center"`
	Cores      int            `toml:"cores"`
	Speed      float64        `toml:"speed"`
}

// dispatcherEndpoint holds the VM and the addresses of one dispatcher process.
type dispatcherEndpoint struct {
	name                 string
	vm                   VM
	callerAddr, peerAddr netip.AddrPort
}

// readStrictTOML decodes the file and rejects keys that v does not have.
func readStrictTOML(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(v)
	if err != nil {
		return errors.Errorf("%s: %v", path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return errors.Errorf("%s: %s: unknown key", path, extra[0])
	}
	return nil
}

// ReadDeployment reads a deployment with its settings and tables. A name without a path
// or extension means examples/NAME/deployment.toml.
func ReadDeployment(path string) (Deployment, error) {
	var d Deployment
	if filepath.Base(path) == path && filepath.Ext(path) == "" {
		path = filepath.Join("examples", path, "deployment.toml")
	}
	if err := readStrictTOML(path, &d); err != nil {
		return d, err
	}
	dir := filepath.Dir(path)
	var err error
	if d.cfg, err = settings.Load(filepath.Join(dir, d.Settings)); err != nil {
		return d, err
	}
	if d.rows, err = operator.ReadFiles([]string{filepath.Join(dir, d.Tables)}); err != nil {
		return d, err
	}
	if err := d.validate(); err != nil {
		return d, errors.Errorf("%s: %v", path, err)
	}
	return d, nil
}

func (d *Deployment) validate() error {
	listed := make(map[netip.AddrPort]bool, len(d.rows.Servers))
	for _, s := range d.rows.Servers {
		listed[s.Address] = true
	}
	for _, w := range d.Workers {
		switch {
		case !listed[w.Address]:
			return errors.Errorf("workers: %s is not in the tables", w.Address)
		case w.Cores <= 0 || w.Speed <= 0:
			return errors.Errorf("workers: %s: cores and speed must be above 0", w.Address)
		}
	}
	switch {
	case len(d.VMs) == 0 || len(d.Workers) == 0 || len(d.Callers) == 0 || len(d.Controls) == 0:
		return errors.New("vms, workers, callers and controls must not be empty")
	case d.Dispatchers < 1 || d.Dispatchers > maxDispatchers:
		return errors.Errorf("dispatchers: must be 1 to %d", maxDispatchers)
	}
	return nil
}

// maxDispatchers bounds the dispatcher processes of a deployment.
const maxDispatchers = 100

// endpoints returns the endpoints of the dispatchers, assigned to the VMs in turn.
func (d *Deployment) endpoints() []dispatcherEndpoint {
	if d.presetEndpoints != nil {
		return d.presetEndpoints
	}
	out := make([]dispatcherEndpoint, d.Dispatchers)
	for i := range out {
		vm := d.VMs[i%len(d.VMs)]
		n := uint16(i / len(d.VMs))
		out[i] = dispatcherEndpoint{
			name:       "hub" + itoa(int(n)),
			vm:         vm,
			callerAddr: netip.AddrPortFrom(vm.Address, d.CallerPort+n),
			peerAddr:   netip.AddrPortFrom(vm.Address, d.PeerPort+n),
		}
	}
	return out
}

// effectiveCores returns the sum of the cores, each weighted by its speed: the seconds of
// service, at speed 1, that all backend servers provide in a second. A deployment with
// fewer connections than cores can't use more cores than connections.
func (d *Deployment) effectiveCores() float64 {
	var cores, effectiveCores float64
	for _, w := range d.Workers {
		cores += float64(w.Cores)
		effectiveCores += float64(w.Cores) * w.Speed
	}
	conns := float64(d.Dispatchers * d.cfg.Dispatch.Connections)
	return effectiveCores * min(1, conns/cores)
}

// maxSpeed returns the highest speed of a backend server.
func (d *Deployment) maxSpeed() float64 {
	var top float64
	for _, w := range d.Workers {
		top = max(top, w.Speed)
	}
	return top
}
