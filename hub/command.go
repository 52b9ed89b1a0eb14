package hub

import (
	"context"
	"log/slog"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/settings"
)

// ExitSettings is the exit code for invalid settings.
const ExitSettings = 2

// Command returns the command line of snipehubd.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "snipehubd",
		Usage: "the dispatcher",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file (TOML)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "defaults", Usage: "print the default settings and exit"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.Bool("defaults") {
		return settings.PrintDefaults(c.Root().Writer)
	}
	cfg, err := settings.Load(c.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	if c.Bool("check") {
		return nil
	}
	h, err := New(cfg, logger(cfg.Log), TCP{})
	if err != nil {
		return errors.Wrap(err, c.String("config"))
	}
	return h.Run(ctx)
}

func logger(l settings.Log) *slog.Logger {
	var level slog.Level
	if level.UnmarshalText([]byte(l.Level)) != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
