package model

import "time"

// Day is a kind of day used to compare policies.
type Day struct {
	Name string
	// Summary describes the load and faults of the day.
	Summary string
	Apply   func(cfg *Config)
}

// Days is the table of days. Load 1 is what the users' sheets name. The crashes, faulty workers
// and bursts have the sizes that the users' reports and deployments name.
var Days = []Day{
	{
		"calm", "the sheets' load at six tenths, with a burst of 1.3 for four seconds",
		func(cfg *Config) {
			cfg.Load, cfg.Length = 0.6, 16*time.Second
			cfg.Bursts = []Burst{{At: 2 * time.Second, For: 4 * time.Second, Factor: 1.3}}
		},
	},
	{
		"busy", "more than the sheets' load, a burst, and one worker in seven crashed, then failing, hanging or slow",
		func(cfg *Config) {
			cfg.Load, cfg.Length, cfg.Tail = 1.1, 16*time.Second, 6*time.Second
			cfg.Bursts = []Burst{{At: 3 * time.Second, For: 4 * time.Second, Factor: 1.3}}
			n := int(cfg.Seed) * 7
			cfg.Faults = []Fault{
				{5 * time.Second, CrashWorkers(n, 7, 4*time.Second)},
				{7 * time.Second, FailNewTasks(n+12, 4, 5*time.Second)},
				{10 * time.Second, HangTasks(n+20, 4, 3*time.Second)},
				{12 * time.Second, SlowNewTasks(n+30, 6, 5, 3*time.Second)},
			}
		},
	},
	{
		"full", "half as much again as the sheets' load for six seconds, with one worker in six crashed",
		func(cfg *Config) {
			cfg.Load, cfg.Length = 1.1, 12*time.Second
			cfg.Bursts = []Burst{{At: 2 * time.Second, For: 6 * time.Second, Factor: 1.5}}
			cfg.Faults = []Fault{{3500 * time.Millisecond, CrashWorkers(int(cfg.Seed)*5, 8, 4300*time.Millisecond)}}
		},
	},
	{
		"lossy", "a twentieth of the calls to workers lost and carried out late",
		func(cfg *Config) {
			cfg.Load, cfg.Length = 0.8, 12*time.Second
			cfg.Faults = []Fault{{2 * time.Second, DelayCalls(0.05, 8*time.Second)}}
		},
	},
}

// Sites holds the functions that return the deployments, by name.
var Sites = map[string]func() Config{"lakeshore": Lakeshore, "teranga": Teranga, "kioskopskrba": Kioskopskrba}
