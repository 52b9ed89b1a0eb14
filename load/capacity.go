package load

import (
	"context"
	"fmt"
	"math"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/settings"
)

// systemSize is the size of the whole system, and the shape of its load.
type systemSize struct {
	workers         float64
	startsPerSecond float64 // task starts a second
	teams           float64
	dataCenters     float64
	changesPerDay   float64
	// tasksPerJob and secondsPerTask are means.
	tasksPerJob, secondsPerTask float64
	// connections is the number of tasks that one dispatcher process runs at once.
	connections float64
	// answerRetention is how long answers are kept, in seconds.
	answerRetention float64
	// appendRate is the part of the log's append rate that is available to the
	// dispatchers, per second.
	appendRate float64
}

// These are the budgets of each node for control: for tables, roster and claims, not for
// jobs and tasks.
const (
	budgetCPU   = 0.012 * 1e6 // µs a second
	budgetBytes = 25_000      // bytes a second
	budgetRSS   = 64 << 20    // bytes
)

const secondsPerDay = 86400

// expectedSize returns the size that the users expect within two years. Jobs and service
// times are those of the default scenarios, which don't make the requirements look too
// low: jobs of 1 to 100 tasks cost more per task than those of 1,300.
func expectedSize() systemSize {
	return systemSize{
		workers: 13_000, startsPerSecond: 510_000, teams: 190, dataCenters: 7, changesPerDay: 14_000,
		tasksPerJob: defaultJobTasks.mean(), secondsPerTask: defaultServiceTimes.spread().Mean().Seconds(),
		connections: 64, answerRetention: 600, appendRate: settings.Default().Platform.AppendRate,
	}
}

func (z systemSize) dispatchers() float64 {
	return math.Ceil(z.startsPerSecond * z.secondsPerTask / z.connections)
}

func (z systemSize) jobsPerDispatcher() float64 {
	return z.startsPerSecond / z.tasksPerJob / z.dispatchers()
}

func (z systemSize) changesPerSecond() float64 { return z.changesPerDay / secondsPerDay }

// requirement is one quantity of a role at a system size.
type requirement struct {
	role, quantity string
	value          float64
	unit           string
	// budget is 0 where none is set. budgetReachedAt is the number of dispatchers (or
	// rows) at which the budget is reached, 0 where the quantity doesn't depend on it
	// linearly.
	budget, budgetReachedAt float64
	reachedUnit             string
	source                  string
}

// requirements computes what each role requires at the size.
func requirements(z systemSize, all []Slope) ([]requirement, error) {
	f := make(map[string]Fit)
	for _, s := range all {
		f[s.Name] = s.Fit
	}
	for _, name := range []string{
		slopeCPU, slopeKept, slopeKeptLarge, slopeTicket, slopeQueue, slopeRows, slopeApply, slopeEditBytes,
		slopeIdleCPU, slopeIdleBytes, slopeIdleRSS, slopeStatus, slopeLogReads, slopeClaims, slopeClaimBytes,
	} {
		if _, ok := f[name]; !ok {
			return nil, errors.Errorf("capacity: the slopes lack %q", name)
		}
	}
	out := dispatcherRequirements(z, f)
	out = append(out, readerRequirements(z, f)...)
	out = append(out, memberRequirements(z, f)...)
	out = append(out, claimRequirements(z, f)...)
	return append(out, platformRequirements(z, f)...), nil
}

func dispatcherRequirements(z systemSize, f map[string]Fit) []requirement {
	const role = "dispatcher"
	jobs := z.jobsPerDispatcher()
	cpu := jobs * f[slopeCPU].At(z.tasksPerJob)
	return []requirement{
		{role: role, quantity: "processes in all", value: z.dispatchers(), unit: "processes", source: "starts × mean service time / connections"},
		{role: role, quantity: "task starts, each", value: z.startsPerSecond / z.dispatchers(), unit: "messages/s", source: "one exchange with a backend server a task"},
		{role: role, quantity: "jobs, each", value: jobs, unit: "messages/s", source: "starts / mean job"},
		{role: role, quantity: "processor for tasks and jobs, each", value: cpu / 1e6, unit: "cores", source: slopeCPU},
		{role: role, quantity: "kept answers, each", value: jobs * z.answerRetention * z.answerBytes(f) / (1 << 20), unit: "MB", source: slopeKept + " and of larger ones, at the mean job"},
		{role: role, quantity: "a ticket of each team", value: z.teams * f[slopeTicket].Slope / (1 << 20), unit: "MB", source: slopeTicket},
		{role: role, quantity: "100,000 tasks waiting", value: 100_000 * f[slopeQueue].Slope / (1 << 20), unit: "MB", source: slopeQueue},
	}
}

// answerBytes returns the memory of a kept answer of the mean job, on the line through
// the measured values for answers of one task and of largeAnswerTasks tasks.
func (z systemSize) answerBytes(f map[string]Fit) float64 {
	one, large := f[slopeKept].Slope, f[slopeKeptLarge].Slope
	return one + (large-one)/(largeAnswerTasks-1)*(z.tasksPerJob-1)
}

func readerRequirements(z systemSize, f map[string]Fit) []requirement {
	const role = "table reader"
	apply := f[slopeApply]
	cpu := z.changesPerSecond() * apply.At(z.workers)
	return []requirement{
		{role: role, quantity: "rows of backend servers", value: z.workers * f[slopeRows].Slope / (1 << 20), unit: "MB", budget: budgetRSS >> 20, source: slopeRows},
		{
			role: role, quantity: "processor for edits", value: cpu, unit: "µs/s", budget: budgetCPU, source: slopeApply,
			budgetReachedAt: sizeAtBudget(apply, budgetCPU/z.changesPerSecond()), reachedUnit: "rows",
		},
		{role: role, quantity: "edits", value: z.changesPerSecond() * f[slopeEditBytes].At(z.workers), unit: "bytes/s", budget: budgetBytes, source: slopeEditBytes},
	}
}

func memberRequirements(z systemSize, f map[string]Fit) []requirement {
	const role = "roster member"
	n := z.dispatchers()
	linear := func(quantity, unit, slope string, budget float64) requirement {
		return requirement{
			role: role, quantity: quantity, value: f[slope].At(n), unit: unit, budget: budget, source: slope,
			budgetReachedAt: sizeAtBudget(f[slope], budget), reachedUnit: "dispatchers",
		}
	}
	return []requirement{
		linear("idle processor", "µs/s", slopeIdleCPU, budgetCPU),
		linear("idle traffic, in and out", "bytes/s", slopeIdleBytes, budgetBytes),
		linear("idle memory, whole process", "bytes", slopeIdleRSS, budgetRSS),
	}
}

// logOverhead is the number of bytes that a reader receives for one on the log: records
// are transferred in base64.
const logOverhead = 4.0 / 3

func claimRequirements(z systemSize, f map[string]Fit) []requirement {
	const role = "claim writer"
	perClaim := f[slopeClaimBytes].Slope * logOverhead
	return []requirement{
		{role: role, quantity: "one claim, at each reader", value: perClaim, unit: "bytes", source: slopeClaimBytes + ", in base64"},
		{role: role, quantity: "claims that fill the budget of traffic", value: budgetBytes / perClaim, unit: "claims/s", source: "every dispatcher reads all claims"},
		{role: role, quantity: "time between two appends of a dispatcher", value: z.dispatchers() / z.appendRate, unit: "s", source: "platform.append_rate, divided over all dispatchers"},
	}
}

func platformRequirements(z systemSize, f map[string]Fit) []requirement {
	n := z.dispatchers()
	return []requirement{
		{role: "operators' client", quantity: "status of every dispatcher", value: n * f[slopeStatus].At(n) / (1 << 20), unit: "MB", source: slopeStatus},
		{role: "platform", quantity: "polls of the log and the VM list", value: f[slopeLogReads].At(n), unit: "reads/s", source: slopeLogReads},
		{role: "platform", quantity: "reads woken by edits", value: z.changesPerSecond() * n, unit: "reads/s", source: "each edit wakes each reader"},
		{role: "platform", quantity: "appends of edits", value: z.changesPerSecond(), unit: "appends/s", source: "14,000 changes a day"},
	}
}

// sizeAtBudget returns the x at which the line reaches the budget, or 0 if the line is
// flat or already above the budget at 0.
func sizeAtBudget(f Fit, budget float64) float64 {
	if f.isFlat() {
		return 0
	}
	return max((budget-f.Intercept)/f.Slope, 0)
}

// capacityMarkdown returns the slopes and requirements as tables.
func capacityMarkdown(f SlopeFile, all []requirement) string {
	var b strings.Builder
	m := f.Machine
	fmt.Fprintf(&b, "%s, %d cores, %d GB, %s; commit %s, %s; load average before: %.1f.\n\n",
		m.CPU, m.Cores, m.MemoryGB, m.Go, f.Commit, f.At.Format("2006-01-02 15:04 UTC"), m.Load)
	b.WriteString("| slope | of | by | slope ± standard error | intercept | R² | sizes |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range f.Slopes {
		first, last := s.Points[0].X, s.Points[len(s.Points)-1].X
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g ± %.2g | %.4g | %.3f | %d from %.0f to %.0f |\n",
			s.Name, s.Y, s.X, s.Fit.Slope, s.Fit.SlopeError, s.Fit.Intercept, s.Fit.R2, len(s.Points), first, last)
	}
	b.WriteString("\n| role | quantity | at the letter's size | budget | reached at | from |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range all {
		fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s |\n", r.role, r.quantity, r.value, r.unit, r.budgetText(), r.reachedText(), r.source)
	}
	return b.String()
}

func (r requirement) budgetText() string {
	switch {
	case r.budget == 0:
		return "none set"
	case r.value > r.budget:
		return fmt.Sprintf("**over** %.4g", r.budget)
	}
	return fmt.Sprintf("within %.4g", r.budget)
}

func (r requirement) reachedText() string {
	if r.budgetReachedAt == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %s", r.budgetReachedAt, r.reachedUnit)
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:      "capacity",
		Usage:     "compute what each role takes at the size of the letter, from measured slopes",
		ArgsUsage: "SLOPES.json",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "page", Usage: "Markdown page whose marked part is replaced; prints without it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			f, err := readSlopes(c.Args().First())
			if err != nil {
				return err
			}
			all, err := requirements(expectedSize(), f.Slopes)
			if err != nil {
				return err
			}
			text := capacityMarkdown(f, all)
			if page := c.String("page"); page != "" {
				return replaceInPage(page, text)
			}
			fmt.Fprint(c.Root().Writer, text)
			return nil
		},
	}
}
