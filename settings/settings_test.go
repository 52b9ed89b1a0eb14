package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"snipehub.example/internal/page"
)

// minimalConfig is the shortest valid file.
const minimalConfig = `
[process]
data_center = "dc1"
vm = "vm0"
name = "hub0"
[listen]
callers = "127.0.0.1:7400"
peers = "127.0.0.1:7500"
[platform]
log = "127.0.0.1:7300"
[callers]
open = true
`

const tokenHash = "a70bf50e531ce1a817561f2f5d5b6645d4e806becf58ccc5e8cf6b8045a090a8"

// TestErrors replaces text in minimalConfig and checks the error of Parse.
func TestErrors(t *testing.T) {
	token := func(caller, team, sha string) string {
		return `{ caller = "` + caller + `", team = "` + team + `", sha256 = "` + sha + `" },`
	}
	tests := []struct {
		name, old, new, want string
	}{
		{"unknown key", `open = true`, "open = true\n[limits]\nbody_bites = 1", `limits.body_bites: unknown key`},
		{"unknown section", `open = true`, "open = true\n[limit]\nbody_bytes = 1", `limit: unknown key`},
		{"wrong type", `open = true`, `open = 3`, `callers.open`},
		{"not TOML", `open = true`, `open =`, `line 12`},
		{"malformed duration", `open = true`, "open = true\n[peers]\nheartbeat = \"soon\"", `peers.heartbeat`},
		{"no data centre", `data_center = "dc1"`, ``, `process.data_center: must be letters`},
		{"name with a dot", `vm = "vm0"`, `vm = "vm.0"`, `process.vm: must be letters`},
		{"no name", `name = "hub0"`, ``, `process.name: must be letters`},
		{"no address", `callers = "127.0.0.1:7400"`, ``, `listen.callers: must be an address`},
		{"no port", `callers = "127.0.0.1:7400"`, `callers = "127.0.0.1:0"`, `listen.callers: must be an address`},
		{"host name", `callers = "127.0.0.1:7400"`, `callers = "localhost:7400"`, `listen.callers`},
		{"unspecified address for peers", `peers = "127.0.0.1:7500"`, `peers = "0.0.0.0:7500"`, `listen.peers: must be an address such as 10.0.0.7:7500 that other dispatchers reach`},
		{"same address", `peers = "127.0.0.1:7500"`, `peers = "127.0.0.1:7400"`, `listen.peers: is the same address as listen.callers`},
		{"operators at the same", `peers = "127.0.0.1:7500"`, "peers = \"127.0.0.1:7500\"\noperators = \"127.0.0.1:7500\"", `listen.operators: is the same address as listen.peers`},
		{"no log", `log = "127.0.0.1:7300"`, ``, `platform.log: must be an address`},
		{"rate of 0", `log = "127.0.0.1:7300"`, "log = \"127.0.0.1:7300\"\nappend_rate = 0.0", `platform.append_rate: must be from 0.100000 to 100000`},
		{"half a certificate", `open = true`, "open = true\n[tls]\ncaller_cert = \"a.pem\"", `tls.caller_cert: and tls.caller_key must be set together`},
		{"peers without authority", `open = true`, "open = true\n[tls]\npeer_cert = \"a.pem\"\npeer_key = \"b.pem\"", `tls.peer_cert: and tls.peer_key and tls.peer_ca`},
		{"seed without port", `open = true`, "open = true\n[peers]\nseeds = [\"127.0.0.1:0\"]", `peers.seeds: must be a list`},
		{"peer port 0", `open = true`, "open = true\n[peers]\nports = [0]", `peers.ports: must be a list`},
		{"suspicion too soon", `open = true`, "open = true\n[peers]\nheartbeat = \"2s\"\nsuspect_after = \"3s\"", `peers.suspect_after: must be at least twice peers.heartbeat`},
		{"nobody may call", `open = true`, ``, `callers.tokens: is empty`},
		{"open with tokens", `open = true`, "open = true\ntokens = [" + token("a", "", tokenHash) + "]", `callers.open: contradicts`},
		{"caller's name", `open = true`, "tokens = [" + token("a b", "", tokenHash) + "]", `callers.tokens[0].caller: must be letters`},
		{"team's name", `open = true`, "tokens = [" + token("a", "a/b", tokenHash) + "]", `callers.tokens[0].team: must be empty`},
		{"short hash", `open = true`, "tokens = [" + token("a", "", "ab") + "]", `callers.tokens[0].sha256: must be 64`},
		{"token twice", `open = true`, "tokens = [" + token("a", "", tokenHash) + token("b", "", strings.ToUpper(tokenHash)) + "]", `callers.tokens[1].sha256: stands twice`},
		{"two teams", `open = true`, "tokens = [" + token("a", "x", tokenHash) + token("a", "y", strings.Repeat("ab", 32)) + "]", `callers.tokens[1].team: is "y", but`},
		{"negative limit", `open = true`, "open = true\n[limits]\nbody_bytes = -1", `limits.body_bytes: must be from 1 to`},
		{"timeout of 0", `open = true`, "open = true\n[limits]\nread_timeout = \"0s\"", `limits.read_timeout: must be from 10ms to 10m`},
		{"window over range", `open = true`, "open = true\n[limits]\nticket_range = 10", `limits.ticket_window: must not be above limits.ticket_range`},
		{"answer over kept", `open = true`, "open = true\n[limits]\nkept_answer_bytes = 10", `limits.answer_bytes: must not be above`},
		{"body over open", `open = true`, "open = true\n[limits]\nopen_bytes = 10", `limits.body_bytes: must not be above`},
		{"job over queue", `open = true`, "open = true\n[limits]\nqueued_tasks = 10", `limits.job_tasks: must not be above`},
		{"task over job", `open = true`, "open = true\n[limits]\njob_timeout = \"5s\"", `dispatch.task_timeout: must not be above`},
		{"share above 1", `open = true`, "open = true\n[dispatch]\nretry_budget = 1.5", `dispatch.retry_budget: must be from 0 to 1`},
		{"poll too slow", `open = true`, "open = true\n[tables]\nsettle = \"3s\"", `tables.poll: must be at most a third of tables.settle`},
		{"policy", `open = true`, "open = true\n[dispatch]\npolicy = \"best\"", `dispatch.policy: must be one of `},
		{"attempts", `open = true`, "open = true\n[dispatch]\nattempts = 0", `dispatch.attempts: must be from 1`},
		{"level", `open = true`, "open = true\n[log]\nlevel = \"loud\"", `log.level: must be one of debug`},
		{"format", `open = true`, "open = true\n[log]\nformat = \"xml\"", `log.format: must be one of text`},
	}
	if _, err := Parse("x.toml", []byte(minimalConfig)); err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(strings.Replace(minimalConfig, tt.old, tt.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), "x.toml: ") || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("have %v, want x.toml: ... %s", err, tt.want)
			}
		})
	}
}

func TestMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.toml")
	for _, p := range []string{"", path} {
		if _, err := Load(p); err == nil || !strings.Contains(err.Error(), p) {
			t.Errorf("Load(%q): %v", p, err)
		}
	}
}

// TestTable checks that the table of keys lists each field of Config exactly once.
func TestTable(t *testing.T) {
	cfg := Default()
	fields := valuesByKey(&cfg)
	for _, k := range Keys() {
		if _, ok := fields[k.Name]; !ok {
			t.Errorf("%s is in the table in keys.go twice, or is no field of Config", k.Name)
		}
		delete(fields, k.Name)
	}
	for name := range fields {
		t.Errorf("%s is not in the table in keys.go", name)
	}
}

// TestPrintDefaults parses the printed defaults, with the examples uncommented for
// keys without a default.
func TestPrintDefaults(t *testing.T) {
	var b bytes.Buffer
	if err := PrintDefaults(&b); err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile(`(?m)^# (\w+ = )`).ReplaceAllString(b.String(), "$1")
	have, err := Parse("defaults", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Process, want.Listen, want.Platform.Log, want.Platform.VMs = have.Process, have.Listen, have.Platform.Log, have.Platform.VMs
	want.Peers.Seeds, want.Peers.Ports, want.Callers.Tokens = have.Peers.Seeds, have.Peers.Ports, have.Callers.Tokens
	if !reflect.DeepEqual(have, want) {
		t.Errorf("have %+v\nwant %+v", have, want)
	}
}

// TestPage checks that docs/SETTINGS.md matches the table. With UPDATE_DOCS=1 it
// writes the page.
func TestPage(t *testing.T) {
	page.CheckEqual(t, "../docs/SETTINGS.md", string(Page()))
}

// TestExamples checks that the example settings files are valid.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../examples/*.toml")
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(b, []byte("[process]")) {
			continue
		}
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse searches for text that makes Parse panic, or that Parse accepts but that
// doesn't survive encoding and parsing again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalConfig))
	var b bytes.Buffer
	_ = PrintDefaults(&b)
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		out, err := Encode(cfg)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse("again", out)
		if err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		if len(reparsed.Callers.Tokens) != len(cfg.Callers.Tokens) || reparsed.Limits != cfg.Limits || reparsed.Dispatch != cfg.Dispatch {
			t.Errorf("have %+v\nwant %+v", reparsed, cfg)
		}
	})
}
