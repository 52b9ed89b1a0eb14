package load

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// SlopeFile is the output file of "snipeload slopes".
type SlopeFile struct {
	At      time.Time `json:"at"`
	Commit  string    `json:"commit"`
	Machine Machine   `json:"machine"`
	Slopes  []Slope   `json:"slopes"`
}

// slopesTimeout bounds all measurements of slopes together.
const slopesTimeout = 10 * time.Minute

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure what the costs depend on, at several sizes, with a fit",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "cpu, kept, tickets, queue, tables, members"},
			&cli.StringFlag{Name: "out", Usage: "write the slopes to this JSON file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, slopesTimeout)
			defer cancel()
			f := SlopeFile{At: time.Now().UTC(), Commit: commit(), Machine: describeMachine()}
			var err error
			f.Slopes, err = measureSlopes(ctx, c.StringSlice("only"), func(s Slope) {
				fmt.Fprintln(c.Root().Writer, s)
			})
			if err != nil {
				return err
			}
			return f.write(c.String("out"))
		},
	}
}

func (f SlopeFile) write(path string) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "slopes")
	}
	return nil
}

func readSlopes(path string) (SlopeFile, error) {
	var f SlopeFile
	b, err := os.ReadFile(path)
	if err != nil {
		return f, errors.Wrap(err, "slopes")
	}
	if err := json.Unmarshal(b, &f); err != nil {
		return f, errors.Wrap(err, path)
	}
	return f, nil
}
