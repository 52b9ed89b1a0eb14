// Package page checks that pages of the documentation match the tables in the code that
// they are generated from. Only tests use it.
package page

import (
	"os"
	"testing"
)

// updateVar is the environment variable that makes CheckEqual write the page.
const updateVar = "UPDATE_DOCS"

// CheckEqual fails the test if the file at path differs from want. If UPDATE_DOCS is set it
// writes the file first.
func CheckEqual(t testing.TB, path, want string) {
	t.Helper()
	if os.Getenv(updateVar) != "" {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != want {
		t.Errorf("%s differs from the table that it follows; run this test with %s=1", path, updateVar)
	}
}
