package hub_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"snipehub.example/hub"
	"snipehub.example/internal/program"
	"snipehub.example/internal/script"
	"snipehub.example/load"
	"snipehub.example/operator"
	"snipehub.example/stand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipehubd":  func() { os.Exit(program.Run(hub.Command())) },
		"snipectl":   func() { os.Exit(program.Run(operator.Command())) },
		"snipestand": func() { os.Exit(program.Run(stand.Command())) },
		"snipeload":  func() { os.Exit(program.Run(load.Command())) },
		"curl":       func() { os.Exit(curl()) },
	})
}

// TestScript runs the binaries as processes. Each script gets free addresses in $A0 to
// $A11 and the files of testdata/common, which configure two dispatchers (callers at $A1
// and $A3, peers at $A2 and $A4), the log at $A0 and a backend server at $A5.
func TestScript(t *testing.T) {
	cmds := script.Cmds()
	cmds["documented"], cmds["move"] = documented, replaceAddresses
	maps.Copy(cmds, faultCmds)
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: setUp, Cmds: cmds})
}

func setUp(e *testscript.Env) error {
	freeAddresses(e)
	examples, err := filepath.Abs("../examples")
	if err != nil {
		return err
	}
	e.Setenv("EXAMPLES", examples)
	return copyCommon(e)
}

// copyCommon copies the files of testdata/common into the script's directory and fills in
// the addresses.
func copyCommon(e *testscript.Env) error {
	const dir = "testdata/common"
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		b, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		to := filepath.Join(e.WorkDir, f.Name())
		if _, err := os.Stat(to); err == nil {
			continue
		}
		if err := os.WriteFile(to, []byte(os.Expand(string(b), e.Getenv)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// scriptCount is the number of scripts started in this process.
var scriptCount atomic.Int32

const (
	addressCount = 12
	// firstPort lies below the range from which the system takes ports for outgoing
	// connections.
	firstPort = 21000
)

// freeAddresses gives each script a loopback address of its own, $HOST, with fixed ports.
// A port that is requested from the system and released for the script may by then be in
// use by some outgoing connection, so that the script fails with "address already in
// use". It also sets unused caller keys, $KEY0 to $KEY2.
func freeAddresses(e *testscript.Env) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+scriptCount.Add(1)%250)
	e.Setenv("HOST", host)
	for i := range 3 {
		e.Setenv(fmt.Sprintf("KEY%d", i), uuid.Must(uuid.NewV7()).String())
	}
	for i := range addressCount {
		e.Setenv(fmt.Sprintf("A%d", i), fmt.Sprintf("%s:%d", host, firstPort+i))
	}
}
