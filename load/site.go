package load

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"snipehub.example/internal/program"
	"snipehub.example/model"
	"snipehub.example/platform/days"
)

// siteFlag returns the flag that selects one of the model's deployments.
func siteFlag() cli.Flag {
	return &cli.StringFlag{Name: "site", Value: "lakeshore", Usage: "one of " + siteNames()}
}

// siteNames returns the names of the model's deployments.
func siteNames() string { return strings.Join(slices.Sorted(maps.Keys(model.Sites)), ", ") }

// siteFromFlag returns the deployment that siteFlag selects.
func siteFromFlag(c *cli.Command) (func() model.Config, error) {
	site, ok := model.Sites[c.String("site")]
	if !ok {
		return nil, cli.Exit(fmt.Sprintf("no site %q", c.String("site")), program.ExitUsage)
	}
	return site, nil
}

// siteOrFileFlag returns the flag that selects one of the model's deployments or a file.
func siteOrFileFlag() cli.Flag {
	return &cli.StringFlag{Name: "site", Value: "lakeshore", Usage: "one of " + siteNames() + ", or a site file"}
}

// daysFlag returns the flag that selects some of the days of a site.
func daysFlag() cli.Flag { return &cli.StringSliceFlag{Name: "day", Usage: "only these days"} }

// playedSite is a deployment with its days, and the weights of the parts of a day's worth.
type playedSite struct {
	name string
	goal model.Parts
	days []playedDay
}

type playedDay struct {
	name string
	// summary describes the load and faults of the day; empty for a day of a site file.
	summary string
	// config returns the day for a seed, counted from 0.
	config func(seed int) model.Config
	// notes describe what the model plays differently, or not at all.
	notes []string
}

// findPlayedSite returns one of the model's deployments, or that of a site file, with the
// named days, or all if there are no names.
func findPlayedSite(name string, only []string) (playedSite, error) {
	s, err := readPlayedSite(name)
	if len(only) > 0 {
		s.days = slices.DeleteFunc(s.days, func(d playedDay) bool { return !slices.Contains(only, d.name) })
	}
	if err == nil && len(s.days) == 0 {
		err = cli.Exit(fmt.Sprintf("site %q has none of the days %v", name, only), program.ExitUsage)
	}
	return s, err
}

func readPlayedSite(name string) (playedSite, error) {
	if site, ok := model.Sites[name]; ok {
		return modelSite(name, site), nil
	}
	if _, err := os.Stat(name); err != nil {
		return playedSite{}, cli.Exit(fmt.Sprintf("no site %q", name), program.ExitUsage)
	}
	read, err := days.Read(name)
	if err != nil {
		return playedSite{}, err
	}
	s := playedSite{name: read.Name, goal: read.Goal}
	for _, d := range read.Days {
		b := playedDay{name: d.Name, config: func(seed int) model.Config { return d.Config(uint64(seed)) }}
		if len(d.Unsupported) > 0 {
			b.notes = append(b.notes, "not played: "+strings.Join(d.Unsupported, ", "))
		}
		if len(d.Approximated) > 0 {
			b.notes = append(b.notes, "played otherwise: "+strings.Join(d.Approximated, "; "))
		}
		s.days = append(s.days, b)
	}
	return s, nil
}

func modelSite(name string, site func() model.Config) playedSite {
	s := playedSite{name: name, goal: model.Parts{Whole: 1}}
	for _, d := range model.Days {
		s.days = append(s.days, playedDay{name: d.Name, summary: d.Summary, config: func(seed int) model.Config {
			cfg := site()
			cfg.Seed = uint64(seed) + 1
			d.Apply(&cfg)
			return cfg
		}})
	}
	return s
}
