// Package settings reads the TOML file of a dispatcher.
//
// Parsing is strict: the first unknown key, value out of range or conflict between
// keys is returned as an error that names the file, the key and the reason. Default is
// the only place that defines default values, except for platform.vms, which Parse sets to
// platform.log. The table in keys.go documents each key and its valid values;
// docs/SETTINGS.md is generated from it.
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

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Config holds all settings of a dispatcher. The table in keys.go describes each of them.
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

// Process identifies this process.
type Process struct {
	DataCenter string `toml:"data_center"`
	VM         string `toml:"vm"`
	// Name distinguishes the processes of one VM.
	Name string `toml:"name"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers netip.AddrPort `toml:"callers"`
	Peers   netip.AddrPort `toml:"peers"`
	// Operators serves status and metrics that include the names of callers. If it
	// is not set, the callers' address serves them without these names.
	Operators netip.AddrPort `toml:"operators"`
}

// TLS holds the paths of certificate and key files. Empty paths mean no TLS.
type TLS struct {
	CallerCert string `toml:"caller_cert"`
	CallerKey  string `toml:"caller_key"`
	PeerCert   string `toml:"peer_cert"`
	PeerKey    string `toml:"peer_key"`
	PeerCA     string `toml:"peer_ca"`
	// Refresh is the interval between two checks of the files for changes.
	Refresh Duration `toml:"refresh"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// Log is the address of the platform's log, and VMs that of its VM list. The output of
	// the process itself is configured by the type Log.
	Log netip.AddrPort `toml:"log"`
	VMs netip.AddrPort `toml:"vms"`
	// AppendRate is the number of appends per second to the log that all
	// dispatchers together may use.
	AppendRate float64  `toml:"append_rate"`
	Timeout    Duration `toml:"timeout"`
}

// Peers configures discovery and failure detection between dispatchers.
type Peers struct {
	// Seeds are the addresses to contact when no other dispatcher is known.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Ports are the peer ports to try on each VM of the VM list.
	Ports        []uint16 `toml:"ports"`
	Heartbeat    Duration `toml:"heartbeat"`
	Fanout       int      `toml:"fanout"`
	SuspectAfter Duration `toml:"suspect_after"`
	Timeout      Duration `toml:"timeout"`
	// GoneAfter is how long a VM must be missing from the VM list before its silent
	// processes count as gone for good. It must exceed the lag of the list.
	GoneAfter Duration `toml:"gone_after"`
	// KeepGone is how long gone processes stay in the roster.
	KeepGone Duration `toml:"keep_gone"`
	// Members is the maximum number of other dispatchers in the roster.
	Members int `toml:"members"`
	// News is the number of other dispatchers whose state one heartbeat carries.
	News int `toml:"news"`
	// VMPoll is the interval between two reads of the VM list.
	VMPoll Duration `toml:"vm_poll"`
	// VMPrefix is the name prefix of entry VMs in the VM list. Ports are tried only
	// on these VMs.
	VMPrefix string `toml:"vm_prefix"`
}

// Callers configures the authentication of callers.
type Callers struct {
	// Open admits every request as the caller "anyone", without checking tokens.
	Open   bool    `toml:"open"`
	Tokens []Token `toml:"tokens"`
}

// Token is one caller's credential.
type Token struct {
	Caller string `toml:"caller"`
	Team   string `toml:"team"`
	// SHA256 is the SHA-256 hash of the bearer token, in hexadecimal.
	SHA256 string `toml:"sha256"`
}

// Limits bounds what callers may send and what a dispatcher stores for them.
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
	// MetricSeries is the maximum number of metric series with the labels caller, kind
	// or code.
	MetricSeries int `toml:"metric_series"`
	// JobTimeout is the maximum timeout of a job or request, and the timeout of
	// those that set none.
	JobTimeout Duration `toml:"job_timeout"`
	// OpenRequests is the maximum number of callers' requests in flight, and
	// OpenBytes the maximum total size of their bodies.
	OpenRequests int   `toml:"open_requests"`
	OpenBytes    int64 `toml:"open_bytes"`
	// IdleTimeout is how long a caller's connection may stay idle between requests.
	IdleTimeout Duration `toml:"idle_timeout"`
	// HandoffBytes bounds the answers that a process hands over when it stops, and
	// HeldBytes the answers that it holds for processes that have stopped.
	HandoffBytes int64 `toml:"handoff_bytes"`
	HeldBytes    int64 `toml:"held_bytes"`
	// PendingKeys is the maximum number of callers' own keys that wait for the log.
	// KeySkew is the maximum difference between the clocks of callers and of the
	// log; it must be the same in all dispatchers.
	PendingKeys int      `toml:"pending_keys"`
	KeySkew     Duration `toml:"key_skew"`
}

// Tables configures how the routes and pools tables are read from the log.
type Tables struct {
	// Settle is the maximum time until a change is in force in all dispatchers.
	Settle Duration `toml:"settle"`
	// Snapshot is the interval between two snapshots that are appended to the log.
	Snapshot Duration `toml:"snapshot"`
	// Poll is how long one read of the log waits for new records. The tables are
	// confirmed once per poll, so it must be at most a third of Settle.
	Poll Duration `toml:"poll"`
}

// Dispatch configures how tasks are placed on backend servers.
type Dispatch struct {
	Policy string `toml:"policy"`
	// JobSlots is the maximum number of partly started jobs; 0 means no limit. Above
	// it, a further job starts only if none of these can go on.
	JobSlots    int      `toml:"job_slots"`
	Connections int      `toml:"connections"`
	TaskTimeout Duration `toml:"task_timeout"`
	// RetryBudget is the maximum number of retries as a share of first attempts.
	RetryBudget float64  `toml:"retry_budget"`
	MaxWait     Duration `toml:"max_wait"`
	// AsideShare is the maximum share of a pool that may be ejected as failing.
	AsideShare float64 `toml:"aside_share"`
	// Attempts is the maximum number of attempts of one task.
	Attempts int `toml:"attempts"`
	// HandAfter is the expected wait beyond which tasks are handed over to other
	// dispatchers, and HandLeast the minimum number of tasks in one such message.
	HandAfter Duration `toml:"hand_after"`
	HandLeast int      `toml:"hand_least"`
}

// Log configures the process's own log output.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the default settings, which apply to keys that the file does not set.
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

// Load reads and validates the settings file at path.
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

// Parse parses and validates the TOML text b. Errors begin with name, the name of the file.
func Parse(name string, b []byte) (Config, error) {
	cfg := Default()
	md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(&cfg)
	if err != nil {
		return Config{}, errors.Errorf("%s: %v", name, err)
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return Config{}, errors.Errorf("%s: %s: unknown key", name, unknown[0])
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
	if err := c.checkValues(); err != nil {
		return err
	}
	return c.checkConsistency()
}

// Encode returns the settings as TOML.
func Encode(c Config) ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(c)
	return b.Bytes(), err
}
