// Package settings reads the TOML file of a dispatcher.
//
// Reading is strict: an unknown key, a value out of range or a contradiction
// is one error that names file, key and reason. Defaults stand in Default and
// nowhere else; what each key means and which values it may have stands in the
// table in keys.go, from which docs/SETTINGS.md is made.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Duration is a time.Duration written as "5s" in TOML.
type Duration time.Duration

// UnmarshalText reads a duration such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Config is the whole of a dispatcher's settings.
type Config struct {
	Process  Process  `toml:"process"`
	Listen   Listen   `toml:"listen"`
	TLS      TLS      `toml:"tls"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Callers  Callers  `toml:"callers"`
	Limits   Limits   `toml:"limits"`
	Tables   Tables   `toml:"tables"`
	Dispatch Dispatch `toml:"dispatch"`
	Log      Log      `toml:"log"`
}

// Process names this process.
type Process struct {
	DataCenter string `toml:"data_center"`
	VM         string `toml:"vm"`
	// Name tells the processes of one VM apart.
	Name string `toml:"name"`
}

// Listen gives the addresses that the process serves.
type Listen struct {
	Callers netip.AddrPort `toml:"callers"`
	Peers   netip.AddrPort `toml:"peers"`
	// Operators shows status and metrics with the names of callers. Without
	// it, the callers' address shows them without these names.
	Operators netip.AddrPort `toml:"operators"`
}

// TLS names certificate files; empty means plain TCP.
type TLS struct {
	CallerCert string `toml:"caller_cert"`
	CallerKey  string `toml:"caller_key"`
	PeerCert   string `toml:"peer_cert"`
	PeerKey    string `toml:"peer_key"`
	PeerCA     string `toml:"peer_ca"`
	// Refresh is how often the files are looked at.
	Refresh Duration `toml:"refresh"`
}

// Platform gives the addresses of the platform's services.
type Platform struct {
	Log netip.AddrPort `toml:"log"`
	VMs netip.AddrPort `toml:"vms"`
	// AppendRate is the share of the log's append rate, in appends a second,
	// that all dispatchers together may use.
	AppendRate float64  `toml:"append_rate"`
	Timeout    Duration `toml:"timeout"`
}

// Peers sets how dispatchers find and watch each other.
type Peers struct {
	// Seeds are addresses to try when nothing else is known.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Ports are the peer ports to try on each VM of the VM list.
	Ports        []uint16 `toml:"ports"`
	Heartbeat    Duration `toml:"heartbeat"`
	Fanout       int      `toml:"fanout"`
	SuspectAfter Duration `toml:"suspect_after"`
	Timeout      Duration `toml:"timeout"`
	// GoneAfter is how long the VM list must lack a VM before its silent
	// processes are gone for good; it must exceed the lag of the list.
	GoneAfter Duration `toml:"gone_after"`
	// KeepGone is how long gone processes are remembered.
	KeepGone Duration `toml:"keep_gone"`
	// Members bounds the dispatchers that are remembered.
	Members int `toml:"members"`
	// News is how many other dispatchers one heartbeat tells of.
	News int `toml:"news"`
	// VMPoll is how often the VM list is read.
	VMPoll Duration `toml:"vm_poll"`
	// VMPrefix begins the names of entry VMs in the VM list; only at these are
	// the ports tried.
	VMPrefix string `toml:"vm_prefix"`
}

// Callers sets who may call.
type Callers struct {
	// Open lets everybody in, as the caller "anyone".
	Open   bool    `toml:"open"`
	Tokens []Token `toml:"tokens"`
}

// Token is one caller's credential.
type Token struct {
	Caller string `toml:"caller"`
	Team   string `toml:"team"`
	// SHA256 is the hash of the bearer token, in hexadecimal.
	SHA256 string `toml:"sha256"`
}

// Limits bounds what callers may send and what is kept for them.
type Limits struct {
	BodyBytes       int64    `toml:"body_bytes"`
	HeaderBytes     int      `toml:"header_bytes"`
	JobTasks        int      `toml:"job_tasks"`
	AnswerBytes     int64    `toml:"answer_bytes"`
	KeptAnswerBytes int64    `toml:"kept_answer_bytes"`
	KeptAnswerFor   Duration `toml:"kept_answer_for"`
	TicketRange     uint64   `toml:"ticket_range"`
	TicketWindow    int      `toml:"ticket_window"`
	Tickets         int      `toml:"tickets"`
	Claims          int      `toml:"claims"`
	QueuedTasks     int      `toml:"queued_tasks"`
	ReadTimeout     Duration `toml:"read_timeout"`
	WriteTimeout    Duration `toml:"write_timeout"`
	StopDeadline    Duration `toml:"stop_deadline"`
	// MetricSeries bounds the series that metrics tell apart.
	MetricSeries int `toml:"metric_series"`
	// JobTimeout bounds a job or a request; it holds for those that ask for
	// no other.
	JobTimeout Duration `toml:"job_timeout"`
	// OpenRequests bounds the requests of callers that are open at once, and
	// OpenBytes the bodies of all of them together.
	OpenRequests int   `toml:"open_requests"`
	OpenBytes    int64 `toml:"open_bytes"`
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout Duration `toml:"idle_timeout"`
	// HandoffBytes bounds what a process hands over when it stops, and
	// HeldBytes what it holds of others that have stopped.
	HandoffBytes int64 `toml:"handoff_bytes"`
	HeldBytes    int64 `toml:"held_bytes"`
	// PendingKeys bounds the callers' own keys that wait for the log. KeySkew
	// is by how much the clocks of callers and of the log may differ; it must
	// be the same in all dispatchers.
	PendingKeys int      `toml:"pending_keys"`
	KeySkew     Duration `toml:"key_skew"`
}

// Tables sets how the tables are followed.
type Tables struct {
	// Settle is the bound in which a change is in force everywhere.
	Settle Duration `toml:"settle"`
	// Snapshot is how often a snapshot is put on the log.
	Snapshot Duration `toml:"snapshot"`
	// Poll is how long one read of the log waits for new records. The tables
	// are confirmed once in this time, so it must be well below Settle.
	Poll Duration `toml:"poll"`
}

// Dispatch sets how tasks are placed.
type Dispatch struct {
	Policy string `toml:"policy"`
	// JobSlots is how many jobs are partly started at once; 0 means no limit.
	JobSlots    int      `toml:"job_slots"`
	Connections int      `toml:"connections"`
	TaskTimeout Duration `toml:"task_timeout"`
	// RetryBudget is the share of first attempts that may be repeated.
	RetryBudget float64  `toml:"retry_budget"`
	MaxWait     Duration `toml:"max_wait"`
	// AsideShare is the largest part of a pool that is set aside as failing.
	AsideShare float64 `toml:"aside_share"`
	// Attempts bounds the attempts of one task.
	Attempts int `toml:"attempts"`
	// HandAfter is the expected wait beyond which tasks are handed to peers,
	// HandLeast the fewest tasks that are worth a message.
	HandAfter Duration `toml:"hand_after"`
	HandLeast int      `toml:"hand_least"`
}

// Log sets the process's own log lines.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the settings that hold where the file is silent.
func Default() Config {
	return Config{
		TLS:      TLS{Refresh: Duration(10 * time.Second)},
		Platform: Platform{AppendRate: 100, Timeout: Duration(2 * time.Second)},
		Peers: Peers{
			Heartbeat:    Duration(time.Second),
			Fanout:       2,
			SuspectAfter: Duration(3 * time.Second),
			Timeout:      Duration(2 * time.Second),
			GoneAfter:    Duration(time.Minute),
			KeepGone:     Duration(10 * time.Minute),
			Members:      4096,
			News:         16,
			VMPoll:       Duration(2 * time.Second),
		},
		Limits: Limits{
			BodyBytes:       8 << 20,
			HeaderBytes:     16 << 10,
			JobTasks:        2000,
			AnswerBytes:     1 << 20,
			KeptAnswerBytes: 64 << 20,
			KeptAnswerFor:   Duration(10 * time.Minute),
			TicketRange:     10000,
			TicketWindow:    1024,
			Tickets:         10000,
			Claims:          100000,
			QueuedTasks:     200000,
			ReadTimeout:     Duration(10 * time.Second),
			WriteTimeout:    Duration(30 * time.Second),
			StopDeadline:    Duration(30 * time.Second),
			MetricSeries:    500,
			JobTimeout:      Duration(2 * time.Minute),
			OpenRequests:    10000,
			OpenBytes:       256 << 20,
			IdleTimeout:     Duration(2 * time.Minute),
			HandoffBytes:    8 << 20,
			HeldBytes:       32 << 20,
			PendingKeys:     10000,
			KeySkew:         Duration(10 * time.Second),
		},
		Tables: Tables{
			Settle:   Duration(8 * time.Second),
			Snapshot: Duration(10 * time.Minute),
			Poll:     Duration(2 * time.Second),
		},
		Dispatch: Dispatch{
			Policy:      "hand",
			JobSlots:    0,
			Connections: 64,
			TaskTimeout: Duration(10 * time.Second),
			RetryBudget: 0.1,
			MaxWait:     Duration(10 * time.Second),
			AsideShare:  0.3,
			Attempts:    10,
			HandAfter:   Duration(50 * time.Millisecond),
			HandLeast:   8,
		},
		Log: Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks the file at path.
func Load(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("settings: no file is named")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings")
	}
	return Parse(path, b)
}

// Parse reads and checks the text b; name stands for the file in errors.
func Parse(name string, b []byte) (Config, error) {
	cfg := Default()
	md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(&cfg)
	if err != nil {
		return Config{}, errors.Errorf("%s: %v", name, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return Config{}, errors.Errorf("%s: %s: unknown key", name, extra[0])
	}
	if !cfg.Platform.VMs.IsValid() {
		cfg.Platform.VMs = cfg.Platform.Log
	}
	if err := cfg.check(); err != nil {
		return Config{}, errors.Errorf("%s: %v", name, err)
	}
	return cfg, nil
}

func (c *Config) check() error {
	if err := c.checkKeys(); err != nil {
		return err
	}
	return c.checkTogether()
}

// Encode writes the settings as TOML.
func Encode(c Config) ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(c)
	return b.Bytes(), err
}
