package hub_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// documented FILE OLD NEW... writes the shell lines of a docs page to documented.sh, with
// each OLD replaced by its NEW.
func documented(ts *testscript.TestScript, _ bool, args []string) {
	page, err := os.ReadFile("../docs/" + args[0])
	ts.Check(err)
	text := "set -e\n"
	for _, block := range strings.Split(string(page), "```sh\n")[1:] {
		lines, _, _ := strings.Cut(block, "```")
		text += lines
	}
	text = strings.NewReplacer(args[1:]...).Replace(text)
	ts.Check(os.WriteFile(ts.MkAbs("documented.sh"), []byte(text), 0o600))
}

// move FILE... replaces the addresses of the examples by those of this script.
func replaceAddresses(ts *testscript.TestScript, _ bool, args []string) {
	r := strings.NewReplacer(
		"127.0.0.1:7300", ts.Getenv("A0"),
		"127.0.0.1:7400", ts.Getenv("A1"), "127.0.0.1:7500", ts.Getenv("A2"),
		"127.0.0.1:7401", ts.Getenv("A3"), "127.0.0.1:7501", ts.Getenv("A4"),
		"127.0.0.1:7600", ts.Getenv("A7"), "127.0.0.1:7601", ts.Getenv("A8"),
		"127.0.0.1:9000", ts.Getenv("A5"),
	)
	for _, f := range args {
		ts.Check(os.WriteFile(ts.MkAbs(f), []byte(r.Replace(ts.ReadFile(f))), 0o600))
	}
}

// curl stands in for the program of that name, which may be missing on a machine that has
// only Go. It supports what the docs use: -sS, -X, -H, -d and a URL.
func curl() int {
	method, url, body := http.MethodGet, "", ""
	header := make(http.Header)
	args := os.Args[1:]
	for len(args) > 0 {
		option := args[0]
		args = args[1:]
		if option == "-sS" {
			continue
		}
		if !strings.HasPrefix(option, "-") || len(args) == 0 {
			url = option
			continue
		}
		value := args[0]
		args = args[1:]
		switch option {
		case "-X":
			method = value
		case "-d":
			body = value
		case "-H":
			k, v, _ := strings.Cut(value, ": ")
			header.Set(k, v)
		default:
			return curlFailed(fmt.Errorf("unknown option %s", option))
		}
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return curlFailed(err)
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return curlFailed(err)
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return curlFailed(err)
	}
	return 0
}

func curlFailed(err error) int {
	fmt.Fprintln(os.Stderr, "curl:", err)
	return 1
}
