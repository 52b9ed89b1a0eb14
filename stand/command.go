package stand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command line of snipestand.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "snipestand",
		Usage: "stand-ins for the platform and for backend servers, for tests and trials",
		Commands: []*cli.Command{
			{
				Name:  "log",
				Usage: "serve the platform's log and VM list",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "address"},
					&cli.DurationFlag{Name: "retention", Value: time.Hour, Usage: "how long records are kept"},
					&cli.FloatFlag{Name: "rate", Value: 300, Usage: "appends a second"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serve(ctx, c.String("listen"), NewLog(c.Duration("retention"), c.Float("rate")))
				},
			},
			{
				Name:  "worker",
				Usage: "serve backend servers at several addresses",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "listen", Value: []string{"127.0.0.1:9000"}, Usage: "addresses, each with :port, or :port@speed for a speed of its own"},
					&cli.IntFlag{Name: "count", Value: 1, Usage: "how many, on consecutive ports of each address"},
					&cli.StringFlag{Name: "control", Usage: "address of the controls, for all servers of the process"},
					&cli.IntFlag{Name: "cores", Value: 64, Usage: "tasks at once, each"},
					&cli.FloatFlag{Name: "speed", Value: 1, Usage: "2 halves the service times"},
					&cli.DurationFlag{Name: "min", Value: 50 * time.Millisecond, Usage: "shortest service time"},
					&cli.DurationFlag{Name: "max", Value: time.Second, Usage: "longest ordinary service time"},
					&cli.DurationFlag{Name: "long", Value: 3 * time.Second, Usage: "service time of the long tasks"},
					&cli.FloatFlag{Name: "long-share", Value: 0, Usage: "share of long tasks, 0 to 1"},
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
				},
				Action: runWorkers,
			},
		},
	}
}

func runWorkers(ctx context.Context, c *cli.Command) error {
	workers, err := newWorkers(c)
	if err != nil {
		return err
	}
	f := NewFarm(workers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- f.Serve(ctx) }()
	if addr := c.String("control"); addr != "" {
		go func() { serveErrs <- serve(ctx, addr, f) }()
	}
	err = <-serveErrs
	cancel()
	return err
}

func newWorkers(c *cli.Command) ([]*Worker, error) {
	spread := ServiceTimes{Min: c.Duration("min"), Max: c.Duration("max"), Long: c.Duration("long"), LongShare: c.Float("long-share")}
	var out []*Worker
	for _, text := range c.StringSlice("listen") {
		first, speed, err := parseListen(text, c.Float("speed"))
		if err != nil {
			return nil, err
		}
		for i := range c.Int("count") {
			addr := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
			out = append(out, NewWorker(addr, c.Int("cores"), speed, spread, c.Uint64("seed")+uint64(len(out))))
		}
	}
	return out, nil
}

// parseListen parses "ip:port" or "ip:port@speed"; the speed defaults to the given one.
func parseListen(text string, speed float64) (netip.AddrPort, float64, error) {
	addrText, speedText, ok := strings.Cut(text, "@")
	a, err := netip.ParseAddrPort(addrText)
	if err != nil {
		return a, 0, errors.Wrap(err, "listen")
	}
	if ok {
		if speed, err = strconv.ParseFloat(speedText, 64); err != nil {
			return a, 0, errors.Wrap(err, "listen")
		}
	}
	if speed <= 0 {
		return a, 0, errors.Errorf("listen: %s: speed must be above 0", text)
	}
	return a, speed, nil
}

// serve serves HTTP at the address until ctx ends.
func serve(ctx context.Context, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "stand")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	fmt.Println("listening", ln.Addr())
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "stand")
	}
	return nil
}
