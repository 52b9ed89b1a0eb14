package stand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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
				Usage: "serve backend servers on consecutive ports",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "address of the first"},
					&cli.IntFlag{Name: "count", Value: 1, Usage: "how many"},
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
	first, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	spread := Spread{Min: c.Duration("min"), Max: c.Duration("max"), Long: c.Duration("long"), LongShare: c.Float("long-share")}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := c.Int("count")
	failed := make(chan error, n)
	for i := range n {
		addr := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		w := NewWorker(addr.String(), c.Int("cores"), c.Float("speed"), spread, c.Uint64("seed")+uint64(i))
		go func() { failed <- serve(ctx, addr.String(), w) }()
	}
	for range n {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

// serve answers HTTP at the address until ctx ends.
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
