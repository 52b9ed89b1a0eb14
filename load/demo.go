package load

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/settings"
	"snipehub.example/tables"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "bring up stand-ins and dispatchers as processes, run jobs, and print the measures",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "dispatchers", Value: 3},
			&cli.IntFlag{Name: "workers", Value: 3},
			&cli.IntFlag{Name: "cores", Value: 16},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "offered load as a share of the capacity"},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	s := Scenario{
		Name: "demo", Title: "a short steady load", JobTasks: Range{Min: 1, Max: 20},
		Phases: []Phase{newPhase(c.Duration("for"), c.Float("load"))},
		ServiceTimes: ServiceTimes{
			Min: settings.Duration(20 * time.Millisecond),
			Max: settings.Duration(60 * time.Millisecond),
		},
	}
	if err := s.validate(); err != nil {
		return err
	}
	d, err := demoDeployment(c.Int("dispatchers"), c.Int("workers"), c.Int("cores"))
	if err != nil {
		return err
	}
	r, err := runWithTimeout(ctx, d, s, Options{Seed: 1})
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, r)
	return checkSafety([]Report{r})
}

// demoDeployment returns a deployment of one data centre, with a VM for each dispatcher,
// on currently free ports.
func demoDeployment(dispatchers, workers, cores int) (Deployment, error) {
	ports, err := freePorts(2 + workers + 2*dispatchers)
	if err != nil {
		return Deployment{}, err
	}
	d := Deployment{
		Name:        "demo",
		Platform:    ports[0],
		Controls:    ports[1:2],
		Dispatchers: dispatchers,
		Callers:     []Caller{{Name: "shop", Team: "demo", Token: "demo", Share: 1}},
		cfg:         settings.Default(),
	}
	d.cfg.Log.Level = "warn"
	d.rows.Routes = []tables.Route{{Kind: "check", Half: "north", Pool: "north"}}
	d.rows.Pools = []tables.Pool{{Name: "north", Half: "north"}}
	for _, a := range ports[2 : 2+workers] {
		d.Workers = append(d.Workers, Worker{Address: a, Rack: "r1", DataCenter: "dc1", Cores: cores, Speed: 1})
		d.rows.Servers = append(d.rows.Servers, tables.Server{Pool: "north", Address: a, DataCenter: "dc1", Slots: cores})
	}
	rest := ports[2+workers:]
	for i := range dispatchers {
		vm := VM{Name: "vm" + itoa(i), Address: rest[0].Addr(), DataCenter: "dc1"}
		d.VMs = append(d.VMs, vm)
		d.presetEndpoints = append(d.presetEndpoints, dispatcherEndpoint{name: "hub" + itoa(i), vm: vm, callerAddr: rest[2*i], peerAddr: rest[2*i+1]})
	}
	return d, d.validate()
}

// freePorts returns n currently free ports of the loopback address.
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
