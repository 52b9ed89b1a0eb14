package cell

import "time"

// Policy is how the planner decides. Each field says what it buys, as measured in
// the model (package model) over 20 seeds.
type Policy struct {
	// AsideAfter is how many bad ends of different jobs in a row put a worker
	// aside; 0 takes the default, a negative number puts none aside.
	AsideAfter int
	// AsideShare is the largest part of the workers that is put aside.
	AsideShare float64
	// ProbeEvery is the first pause between two tasks that try a worker that was
	// put aside; it doubles up to ProbeMost.
	ProbeEvery, ProbeMost time.Duration
	// WaitForFaster lets a task that could still be in time wait for a faster
	// worker when the ones that are free would make it late.
	WaitForFaster Choice
	// LookAhead refuses jobs at once that will be late because of what waits
	// before them. Margin scales the objective that counts for it.
	LookAhead Choice
	Margin    float64
	// Gather puts the tasks of a job on few holders, of workers that are equally fast.
	Gather Choice
	// Order is how what waits is ordered.
	Order Order
	// Far is the time that tasks take on a rack without their data, over the time
	// they take near it; 0 takes the default.
	Far float64
}

// farDefault is what the platform's deployments name today.
const farDefault = 2

// Order is an order of what waits. In each, what has begun goes first.
type Order int

// The orders.
const (
	// ByRank: the operator's rank of the queue, then the objective.
	ByRank Order = iota
	// ByAim: the objective alone.
	ByAim
	// ByWork: the least remaining work first.
	ByWork
	// ByRankWork: the rank, then the least remaining work.
	ByRankWork
)

// Choice is a policy that can be left to the default.
type Choice int

// The choices.
const (
	Default Choice = iota
	On
	Off
)

func (c Choice) on() bool { return c != Off }

func (p Policy) orDefault() Policy {
	if p.AsideAfter == 0 {
		p.AsideAfter = 2
	}
	if p.AsideShare == 0 {
		p.AsideShare = 0.3
	}
	if p.ProbeEvery == 0 {
		p.ProbeEvery = 500 * time.Millisecond
	}
	if p.ProbeMost == 0 {
		p.ProbeMost = 2 * time.Second
	}
	if p.Margin == 0 {
		p.Margin = 1
	}
	if p.Far == 0 {
		p.Far = farDefault
	}
	return p
}
