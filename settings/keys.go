package settings

import (
	"time"

	"snipehub.example/dispatch/policy"
	"snipehub.example/ticket"
)

// Key documents one setting for operators.
type Key struct {
	// Name is the section, a dot and the key within the section.
	Name string
	// Unit is the unit of a number. It is empty for durations, which carry their own
	// unit, and for values that are not numbers.
	Unit        string
	Description string
	// Example is a sample value in TOML for a key without a default; PrintDefaults
	// prints it commented out.
	Example string
	rule    rule
}

// Keys returns a copy of the table of all keys, grouped by section.
func Keys() []Key { return append([]Key(nil), keys...) }

const (
	million  = 1_000_000
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

var keys = []Key{
	{"process.data_center", "", "The data centre that the process is in.", `"dc1"`, identifier},
	{"process.vm", "", "The name of the VM, as the platform's VM list has it.", `"vm0"`, identifier},
	{"process.name", "", "Tells the processes of one VM apart.", `"hub0"`, identifier},

	{"listen.callers", "", "Where callers are served over HTTP.", `"127.0.0.1:7400"`, requiredAddress},
	{"listen.peers", "", "Where other dispatchers are served. It is told to them, so they must reach it.", `"127.0.0.1:7500"`, advertisedAddress},
	{"listen.operators", "", "Where status and metrics are shown with the names of callers. Only operators may reach it. Without it, the callers' address shows them without these names.", `"127.0.0.1:7600"`, optionalAddress},

	{"tls.caller_cert", "", "Certificate file (PEM) for callers; empty means plain HTTP.", "", anyValue},
	{"tls.caller_key", "", "Key file (PEM) of caller_cert.", "", anyValue},
	{"tls.peer_cert", "", "Certificate file (PEM) of this process for other dispatchers; empty means plain TCP.", "", anyValue},
	{"tls.peer_key", "", "Key file (PEM) of peer_cert.", "", anyValue},
	{"tls.peer_ca", "", "File (PEM) with the authority that signs the certificates of all dispatchers.", "", anyValue},
	{"tls.refresh", "", "How often the files are looked at; changed ones come into force without a restart.", "", durationBetween(10*time.Millisecond, time.Hour)},

	{"platform.log", "", "The platform's log.", `"127.0.0.1:7300"`, requiredAddress},
	{"platform.vms", "", "The platform's VM list; empty means the log's address.", `"127.0.0.1:7300"`, optionalAddress},
	{"platform.append_rate", "appends a second", "The part of the log's append rate that all dispatchers together may use.", "", numberBetween(0.1, 100_000)},
	{"platform.timeout", "", "How long a call to the platform may take, a caller's own key waits for the log, and a process that starts holds back its readiness for a log that fails.", "", durationBetween(10*time.Millisecond, time.Minute)},

	{"peers.seeds", "", "Dispatchers to ask when no other is known.", `["127.0.0.1:7500"]`, addressList},
	{"peers.ports", "", "Peer ports to try on each VM of the VM list.", `[7500]`, portList},
	{"peers.heartbeat", "", "Time between two heartbeats.", "", durationBetween(10*time.Millisecond, time.Minute)},
	{"peers.fanout", "dispatchers", "How many random ones get each heartbeat.", "", numberBetween(1, 64)},
	{"peers.suspect_after", "", "Silence after which a dispatcher is suspect.", "", durationBetween(20*time.Millisecond, 10*time.Minute)},
	{"peers.timeout", "", "How long a call to another dispatcher may take, besides what it waits for.", "", durationBetween(10*time.Millisecond, time.Minute)},
	{"peers.gone_after", "", "How long the VM list must lack a VM before its silent dispatchers are gone for good; more than the list may lag.", "", durationBetween(100*time.Millisecond, 24*time.Hour)},
	{"peers.keep_gone", "", "How long gone dispatchers are remembered.", "", durationBetween(time.Second, 24*time.Hour)},
	{"peers.members", "dispatchers", "Most other dispatchers that are remembered.", "", numberBetween(1, 65_536)},
	{"peers.news", "dispatchers", "How many others one heartbeat tells of.", "", numberBetween(4, 64)},
	{"peers.vm_poll", "", "Time between two reads of the VM list.", "", durationBetween(10*time.Millisecond, time.Hour)},
	{"peers.vm_prefix", "", "Beginning of the names of entry VMs in the VM list; the peer ports are tried only there.", "", anyValue},

	{"callers.open", "", "Lets everybody in, as the caller \"anyone\".", "", anyValue},
	{"callers.tokens", "", "The callers: name, team, and the SHA-256 of the bearer token in hexadecimal. A caller may have several tokens, so that they can be changed without a gap.", `[{ caller = "counter-a", team = "a", sha256 = "a70bf50e531ce1a817561f2f5d5b6645d4e806becf58ccc5e8cf6b8045a090a8" }]`, anyValue},

	{"limits.body_bytes", "bytes", "Largest body of a request.", "", numberBetween(1, gibibyte)},
	{"limits.header_bytes", "bytes", "Largest header of a request.", "", numberBetween(512, mebibyte)},
	{"limits.job_tasks", "tasks", "Most tasks in a job.", "", numberBetween(1, million)},
	{"limits.answer_bytes", "bytes", "Largest answer of a backend server.", "", numberBetween(1, gibibyte)},
	{"limits.kept_answer_bytes", "bytes", "Most memory for answers that are kept for resubmissions.", "", numberBetween(1, 64*gibibyte)},
	{"limits.kept_answer_for", "", "How long an answer is kept.", "", durationBetween(time.Second, 24*time.Hour)},
	{"limits.ticket_range", "sequences", "How many sequences a ticket has.", "", numberBetween(1, 1000*million)},
	{"limits.ticket_window", "sequences", "How far apart the oldest unfinished and the newest sequence of a ticket may lie.", "", numberBetween(1, ticket.MaxWidth)},
	{"limits.tickets", "tickets", "Most tickets that are held.", "", numberBetween(1, 100*million)},
	{"limits.claims", "claims", "Most claims of callers' own keys that are remembered.", "", numberBetween(1, 100*million)},
	{"limits.queued_tasks", "tasks", "Most tasks that wait for a backend server.", "", numberBetween(1, 100*million)},
	{"limits.read_timeout", "", "Time for a whole request to arrive.", "", durationBetween(10*time.Millisecond, 10*time.Minute)},
	{"limits.write_timeout", "", "Time for an answer to be taken, from its first byte on.", "", durationBetween(10*time.Millisecond, 10*time.Minute)},
	{"limits.stop_deadline", "", "How long a planned stop waits for what is in flight.", "", durationBetween(100*time.Millisecond, time.Hour)},
	{"limits.metric_series", "series", "Most series of callers, kinds and codes in the metrics.", "", numberBetween(1, million)},
	{"limits.job_timeout", "", "Longest time of a job or request, and the time of those that ask for none.", "", durationBetween(100*time.Millisecond, 24*time.Hour)},
	{"limits.open_requests", "requests", "Most requests of callers that are open at once.", "", numberBetween(1, million)},
	{"limits.open_bytes", "bytes", "Most memory for the bodies of all open requests.", "", numberBetween(1, 64*gibibyte)},
	{"limits.idle_timeout", "", "How long a caller's connection may be without a request.", "", durationBetween(time.Second, time.Hour)},
	{"limits.handoff_bytes", "bytes", "Most answers that a process hands over when it stops.", "", numberBetween(1, 64*gibibyte)},
	{"limits.pending_keys", "keys", "Most keys of callers' own that wait for the log.", "", numberBetween(1, 100*million)},
	{"limits.key_skew", "", "By how much the clocks of callers and of the log may differ; the same in all dispatchers.", "", durationBetween(100*time.Millisecond, time.Hour)},
	{"limits.held_bytes", "bytes", "Most answers that it holds of others that have stopped.", "", numberBetween(1, 64*gibibyte)},

	{"tables.settle", "", "The time in which a change of the tables is in force everywhere.", "", durationBetween(100*time.Millisecond, 10*time.Minute)},
	{"tables.snapshot", "", "Time between two snapshots of the tables on the log; at most a quarter of the time that the log keeps records.", "", durationBetween(time.Second, 24*time.Hour)},
	{"tables.poll", "", "How long one read of the log waits for new records.", "", durationBetween(10*time.Millisecond, time.Minute)},

	{"dispatch.policy", "", "How tasks are placed on backend servers.", "", oneOf(policy.Names()...)},
	{"dispatch.job_slots", "jobs", "How many jobs the process works on at once; 0 means no limit.", "", numberBetween(0, 10_000)},
	{"dispatch.connections", "connections", "Most connections to backend servers, which is the most tasks in flight.", "", numberBetween(1, 100_000)},
	{"dispatch.task_timeout", "", "Longest time of one attempt, where the route names none.", "", durationBetween(10*time.Millisecond, time.Hour)},
	{"dispatch.retry_budget", "share", "Attempts beyond the first, as a share of first attempts.", "", numberBetween(0, 1)},
	{"dispatch.max_wait", "", "Longest expected wait at which new work is still taken.", "", durationBetween(10*time.Millisecond, time.Hour)},
	{"dispatch.attempts", "attempts", "Most attempts of one task.", "", numberBetween(1, 100)},
	{"dispatch.hand_after", "", "Expected wait beyond which tasks are handed over to other dispatchers.", "", durationBetween(0, time.Hour)},
	{"dispatch.hand_least", "tasks", "Fewest tasks that are worth a message to another dispatcher.", "", numberBetween(1, 10_000)},
	{"dispatch.aside_share", "share", "Largest part of a pool that is set aside as failing.", "", numberBetween(0, 0.9)},

	{"log.level", "", "The least level of the process's log lines.", "", oneOf("debug", "info", "warn", "error")},
	{"log.format", "", "The form of the process's log lines.", "", oneOf("text", "json")},
}

// sectionTitles maps a section to its heading in the printed defaults and in
// docs/SETTINGS.md.
var sectionTitles = map[string]string{
	"process":  "Who this process is. All must be set.",
	"listen":   "The addresses that it serves.",
	"tls":      "Certificate files. They are read again when they change.",
	"platform": "The platform's services.",
	"peers":    "How dispatchers find and watch each other.",
	"callers":  "Who may call. Either open or tokens must be set.",
	"limits":   "What callers may send, and what is kept for them.",
	"tables":   "How the routes and pools tables are followed.",
	"dispatch": "How tasks are placed.",
	"log":      "The process's own log lines, on standard error.",
}
