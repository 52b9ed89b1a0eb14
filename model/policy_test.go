package model

import (
	"fmt"
	"testing"
	"time"

	"snipehub.example/cell"
)

func TestPolicies(t *testing.T) {
	for _, p := range []cell.Policy{
		{LookAhead: cell.Off}, {}, {Margin: 1.2}, {Margin: 0.9}, {Order: cell.ByAim}, {Order: cell.ByWork}, {Order: cell.ByRankWork},
	} {
		line := fmt.Sprintf("%+v:", p)
		for _, cfg := range []Config{Lakeshore(), Teranga()} {
			for _, kind := range []string{"busy", "burst"} {
				sum, worst := 0.0, 0.0
				cl := make([]float64, 3)
				const seeds = 5
				for seed := range uint64(seeds) {
					c := busy(cfg, seed+1)
					if kind == "burst" {
						c.Faults = nil
						c.Bursts = []Burst{{3 * time.Second, 4 * time.Second, 2, ""}, {10 * time.Second, 3 * time.Second, 2.5, c.Classes[2].Name}}
					}
					c.Policy = p
					r := New(c).Run()
					sum += r.Worth / seeds
					worst += r.Worst / seeds
					for i := range cl {
						cl[i] += r.Classes[i].Share() / seeds
					}
				}
				line += fmt.Sprintf("  %.3f/%.3f (%.2f %.2f %.2f)", sum, worst, cl[0], cl[1], cl[2])
			}
		}
		t.Log(line)
	}
}
