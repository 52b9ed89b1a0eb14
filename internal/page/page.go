// Package page holds pages of the documentation equal to the tables that they
// follow. It serves tests only.
package page

import (
	"os"
	"testing"
)

// update is the environment variable that makes Hold write the page.
const update = "UPDATE_DOCS"

// Hold fails the test when the file at path differs from want. With UPDATE_DOCS
// set it writes the file first.
func Hold(t testing.TB, path, want string) {
	t.Helper()
	if os.Getenv(update) != "" {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != want {
		t.Errorf("%s differs from the table that it follows; run this test with %s=1", path, update)
	}
}
