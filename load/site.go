package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"snipehub.example/internal/program"
	"snipehub.example/model"
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
