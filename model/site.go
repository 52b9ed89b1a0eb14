package model

import (
	"time"

	"snipehub.example/lease"
)

// Lakeshore is the deployment of the florists' order service, as its users describe it: three
// data centres, 8 VMs, 48 workers of about 64 cores, and three classes of requests. A worker
// has capacity for two or three tasks.
func Lakeshore() Config {
	return Config{
		DataCenters: []DataCenter{
			{Name: "chicago", VMs: 3, Workers: 16, Callers: 47},
			{Name: "detroit", VMs: 3, Workers: 16, Callers: 51.6},
			{Name: "cleveland", VMs: 2, Workers: 16, Callers: 42.1},
		},
		LocalDelay:  200 * time.Microsecond,
		RemoteDelay: 1400 * time.Microsecond,
		CallerDelay: time.Millisecond,
		Kinds: []Kind{
			{Name: "a", Speed: 0.6, Resources: lease.Resources{CPU: 64000, Memory: 262144}},
			{Name: "a", Speed: 1.0, Resources: lease.Resources{CPU: 64000, Memory: 262144}},
			{Name: "b", Speed: 1.6, Resources: lease.Resources{CPU: 96000, Memory: 393216}},
		},
		Classes: classes("stock-check", "wire-price", "slot-confirm", 27000, 41000),
		Lead:    5 * time.Second,
		Length:  30 * time.Second,
		Tail:    10 * time.Second,
	}
}

// Teranga is the deployment of the lunch clubs' menu service.
func Teranga() Config {
	c := Lakeshore()
	c.DataCenters = []DataCenter{
		{Name: "plateau", VMs: 2, Workers: 16, Callers: 45.4},
		{Name: "medina", VMs: 2, Workers: 16, Callers: 49.7},
		{Name: "yoff", VMs: 2, Workers: 16, Callers: 45.5},
	}
	c.RemoteDelay = 500 * time.Microsecond
	c.Kinds = []Kind{
		{Name: "a", Speed: 0.7, Resources: lease.Resources{CPU: 32000, Memory: 65536}},
		{Name: "a", Speed: 0.7, Resources: lease.Resources{CPU: 32000, Memory: 65536}},
		{Name: "b", Speed: 1.7, Resources: lease.Resources{CPU: 48000, Memory: 98304}},
	}
	c.Classes = classes("menu-check", "diet-swap", "portion-confirm", 14000, 21000)
	return c
}

// Kioskopskrba is the deployment of the station kiosks' restocking service.
func Kioskopskrba() Config {
	c := Lakeshore()
	c.DataCenters = []DataCenter{
		{Name: "kolodvor", VMs: 4, Workers: 16, Callers: 42.6},
		{Name: "luka", VMs: 2, Workers: 16, Callers: 55.3},
		{Name: "bus", VMs: 2, Workers: 16, Callers: 42.7},
	}
	c.Kinds = []Kind{
		{Name: "a", Speed: 0.6, Resources: lease.Resources{CPU: 32000, Memory: 65536}},
		{Name: "a", Speed: 1.0, Resources: lease.Resources{CPU: 32000, Memory: 65536}},
		{Name: "b", Speed: 1.6, Resources: lease.Resources{CPU: 48000, Memory: 98304}},
	}
	c.Classes = classes("shelf-check", "van-route", "price-tag", 14000, 21000)
	for i := range c.Classes {
		c.Classes[i].Attempts = []int{2, 2, 4}[i]
	}
	return c
}

// classes returns the three classes of requests that all users have: a check of many short
// tasks, a heavy request of few long ones, and a small frequent one. Load 1 is the sum of the
// rates in the users' sheets.
func classes(check, heavy, confirm string, cpu, maxCPU int) []Class {
	base := Class{CPU: cpu, MaxCPU: maxCPU, Memory: 64, Spread: 0.4, Uneven: 0.15, Objective: 60 * time.Millisecond, Stretch: 1.6, FailureShare: 0.002}
	a, b, c := base, base, base
	a.Name, a.PerSecond, a.Work, a.MaxWork, a.Width, a.MaxWidth = check, 34.4, 60*time.Millisecond, 240*time.Millisecond, 8, 32
	a.Attempts, a.Rank, a.Worth, a.Late = 2, 0, 0.0291, 0.00582
	b.Name, b.PerSecond, b.Work, b.MaxWork, b.Width, b.MaxWidth = heavy, 6.25, 900*time.Millisecond, 3600*time.Millisecond, 4, 16
	b.Attempts, b.Rank, b.Worth, b.Late = 2, 2, 0.16, 0.032
	c.Name, c.PerSecond, c.Work, c.MaxWork, c.Width, c.MaxWidth = confirm, 100, 200*time.Millisecond, 800*time.Millisecond, 2, 8
	c.Attempts, c.Rank, c.Worth, c.Late = 3, 1, 0.01, 0.002
	return []Class{a, b, c}
}
