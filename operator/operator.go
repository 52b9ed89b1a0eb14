// Package operator is the operators' command line, snipectl.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// Command returns the command line of snipectl.
func Command() *cli.Command {
	logFlag := &cli.StringFlag{Name: "log", Value: "127.0.0.1:7300", Usage: "address of the platform's log"}
	return &cli.Command{
		Name:  "snipectl",
		Usage: "look at and change the routes and pools tables",
		Commands: []*cli.Command{
			{
				Name:      "apply",
				Usage:     "bring the tables of the files into force",
				ArgsUsage: "FILE...",
				Flags:     []cli.Flag{logFlag, &cli.StringFlag{Name: "author", Value: os.Getenv("USER")}},
				Action:    apply,
			},
			{
				Name:      "status",
				Usage:     "show what a dispatcher knows",
				ArgsUsage: "ADDRESS...",
				Action:    status,
			},
			keysCommand(),
		},
	}
}

// ExitUsage is the exit code for arguments and files that can't be used.
const ExitUsage = 2

func usage(err error) error { return cli.Exit(err.Error(), ExitUsage) }

// ReadFiles reads and joins the rows of several TOML files.
func ReadFiles(paths []string) (tables.Rows, error) {
	var all tables.Rows
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return all, errors.Wrap(err, "tables")
		}
		var r tables.Rows
		md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(&r)
		if err != nil {
			return all, errors.Errorf("%s: %v", p, err)
		}
		if extra := md.Undecoded(); len(extra) > 0 {
			return all, errors.Errorf("%s: %s: unknown key", p, extra[0])
		}
		all.Routes = append(all.Routes, r.Routes...)
		all.Teams = append(all.Teams, r.Teams...)
		all.Pools = append(all.Pools, r.Pools...)
		all.Servers = append(all.Servers, r.Servers...)
	}
	if _, err := tables.Build(ledger.None, all); err != nil {
		return all, err
	}
	return all, nil
}

func apply(ctx context.Context, c *cli.Command) error {
	addr, err := netip.ParseAddrPort(c.String("log"))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	want, err := ReadFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	v, err := Apply(ctx, ledger.New(addr, addr, 5*time.Second, (&net.Dialer{}).DialContext), want, c.String("author"))
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "in force from version", v)
	return nil
}

// Apply appends the edit that turns the current tables into want, and reads
// the log until the edit's fate is known.
func Apply(ctx context.Context, log *ledger.Client, want tables.Rows, author string) (tables.Version, error) {
	cur, next, err := replay(ctx, log, tables.Empty(), 0)
	if err != nil {
		return ledger.None, err
	}
	e := tables.Edit{ID: uuid.NewString(), Base: cur.Version, Author: author, At: time.Now()}
	e.Put, e.Drop = tables.Diff(cur.Rows(), want)
	b, err := json.Marshal(e)
	if err != nil {
		return ledger.None, errors.Wrap(err, "edit")
	}
	off, err := log.Append(ctx, tables.Stream, b)
	if err != nil {
		return ledger.None, err
	}
	now, _, err := replay(ctx, log, cur, next)
	if err != nil {
		return ledger.None, err
	}
	if now.Version < off {
		return ledger.None, errors.Errorf("the edit lost a race: version %d is in force", now.Version)
	}
	return off, nil
}

func replay(ctx context.Context, log *ledger.Client, s *tables.State, from ledger.Offset) (*tables.State, ledger.Offset, error) {
	for {
		p, err := log.Read(ctx, tables.Stream, from, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, rec := range p.Records {
			var e tables.Edit
			if json.Unmarshal(rec.Data, &e) != nil {
				continue
			}
			if n, err := s.Apply(rec.Offset, e); err == nil {
				s = n
			}
		}
		from = p.Next
		if len(p.Records) == 0 {
			return s, from, nil
		}
	}
}

func status(ctx context.Context, c *cli.Command) error {
	for _, a := range c.Args().Slice() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/status", nil)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "status")
		}
		_, err = io.Copy(c.Root().Writer, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrap(err, "status")
		}
	}
	return nil
}
