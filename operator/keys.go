package operator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/certificate"
)

// defaultValidity is how long certificates for trials are valid by default.
const defaultValidity = 30 * 24 * time.Hour

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make certificates for trials and tests",
		Description: "Writes ca.pem, caller.pem and peer.pem with their keys. An authority that is\n" +
			"there already stays; the other two are made anew.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "keys", Usage: "directory"},
			&cli.StringSliceFlag{Name: "address", Value: []string{"127.0.0.1"}, Usage: "IP address at which callers reach a dispatcher"},
			&cli.DurationFlag{Name: "valid", Value: defaultValidity, Usage: "how long they are valid"},
		},
		Action: makeKeys,
	}
}

func makeKeys(_ context.Context, c *cli.Command) error {
	var addresses []netip.Addr
	for _, s := range c.StringSlice("address") {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return usageError(errors.Wrap(err, "address"))
		}
		addresses = append(addresses, a)
	}
	if err := certificate.Make(c.String("out"), time.Now(), c.Duration("valid"), addresses); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Root().Writer, "written to", c.String("out"))
	return err
}
