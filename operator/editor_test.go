package operator

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// fakeLog is a log in memory with faults that are set as functions.
type fakeLog struct {
	records []ledger.Record
	appends int
	// append replaces the ordinary append, beforeRead runs before each read.
	append     func(data []byte) error
	beforeRead func() error
}

func (l *fakeLog) put(data []byte) {
	l.records = append(l.records, ledger.Record{Offset: ledger.Offset(len(l.records)), Data: data})
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (ledger.Offset, error) {
	l.appends++
	if l.append != nil {
		return ledger.None, l.append(data)
	}
	l.put(data)
	return ledger.Offset(len(l.records) - 1), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from ledger.Offset, wait time.Duration) (ledger.Page, error) {
	if l.beforeRead != nil {
		if err := l.beforeRead(); err != nil {
			return ledger.Page{}, err
		}
	}
	if int(from) >= len(l.records) {
		_ = clock.Sleep(ctx, wait)
	}
	rest := l.records[min(int(from), len(l.records)):]
	return ledger.Page{Next: max(from, ledger.Offset(len(l.records))), Records: rest}, nil
}

// otherEdit returns the edit of another operator, made for an empty log.
func otherEdit() []byte {
	e := tables.Edit{ID: "other", Base: ledger.None, Put: tables.Rows{Pools: []tables.Pool{{Name: "south", Half: "south"}}}}
	b, _ := json.Marshal(e)
	return b
}

// The log's answer to an edit is lost before or after the edit took effect, the log
// refuses the append because of its rate limit, or the log is unreachable while the
// editor reads for the outcome. A repeated append would show in the history as a race
// lost against the operator's own edit; giving up would report an error for a change that
// is in force.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name      string
		setFaults func(l *fakeLog)
		want      error
		appends   int
	}{
		{"no fault", func(*fakeLog) {}, nil, 1},
		{"answer lost after the append", func(l *fakeLog) {
			l.append = func(b []byte) error { l.put(b); return ledger.ErrUnreachable }
		}, nil, 1},
		{"answer lost, and the log is down for a while", func(l *fakeLog) {
			n := 0
			l.append = func(b []byte) error { l.put(b); return ledger.ErrUnreachable }
			l.beforeRead = func() error {
				if n++; n > 1 && n < 10 {
					return ledger.ErrUnreachable
				}
				return nil
			}
		}, nil, 1},
		{"the edit shows up late", func(l *fakeLog) {
			n := 0
			var delayedEdit []byte
			l.append = func(b []byte) error { delayedEdit = b; return ledger.ErrUnreachable }
			l.beforeRead = func() error {
				if n++; n == 10 {
					l.put(delayedEdit)
				}
				return nil
			}
		}, nil, 1},
		{"refused for the rate three times", func(l *fakeLog) {
			n := 0
			l.append = func(b []byte) error {
				if n++; n <= 3 {
					return ledger.ErrRateLimited
				}
				l.put(b)
				return nil
			}
		}, nil, 4},
		{"lost before the append", func(l *fakeLog) {
			l.append = func([]byte) error { return ledger.ErrUnreachable }
		}, ErrOutcomeUnknown, 1},
		{"always over the rate", func(l *fakeLog) {
			l.append = func([]byte) error { return ledger.ErrRateLimited }
		}, ledger.ErrRateLimited, 0},
		{"another edit comes first", func(l *fakeLog) {
			l.append = func(b []byte) error { l.put(otherEdit()); l.put(b); return nil }
		}, &ConflictError{}, 1},
		{"answer lost, and another edit comes first", func(l *fakeLog) {
			l.append = func([]byte) error { l.put(otherEdit()); return ledger.ErrUnreachable }
		}, &ConflictError{}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				l := &fakeLog{}
				tt.setFaults(l)
				want := tables.Rows{Pools: []tables.Pool{{Name: "north", Half: "north"}}}
				_, err := newEditor(l).change(ctx, func(tables.Rows) tables.Rows { return want }, nil, "ann")
				var conflict *ConflictError
				if errors.As(tt.want, &conflict) {
					if !errors.As(err, &conflict) || len(conflict.Put.Pools) != 1 || len(conflict.Drop.Pools) != 1 {
						t.Errorf("have %v, want a lost race and the difference that is left", err)
					}
				} else if !errors.Is(err, tt.want) {
					t.Errorf("have %v, want %v", err, tt.want)
				}
				if tt.appends > 0 && l.appends != tt.appends {
					t.Errorf("%d appends, want %d", l.appends, tt.appends)
				}
			})
		})
	}
}

// With --base, an edit takes effect only if nobody else has changed the tables since the
// operator read them.
func TestBase(t *testing.T) {
	l := &fakeLog{}
	l.put(otherEdit())
	outdated, current := ledger.None, tables.Version(0)
	want := func(cur tables.Rows) tables.Rows {
		cur.Pools = append(cur.Pools, tables.Pool{Name: "west", Half: "south"})
		return cur
	}
	var conflict *ConflictError
	if _, err := newEditor(l).change(t.Context(), want, &outdated, "ann"); !errors.As(err, &conflict) || l.appends != 0 {
		t.Errorf("have %v and %d appends, want a lost race before any append", err, l.appends)
	}
	if o, err := newEditor(l).change(t.Context(), want, &current, "ann"); err != nil || o.Version != 1 {
		t.Errorf("have %+v, %v", o, err)
	}
	same := func(cur tables.Rows) tables.Rows { return cur }
	if o, err := newEditor(l).change(t.Context(), same, nil, "ann"); err != nil || o.Edit != "" || l.appends != 1 {
		t.Errorf("nothing to change: %+v, %v, %d appends", o, err, l.appends)
	}
}

// TestFiles checks the error messages for files that can't be used.
func TestFiles(t *testing.T) {
	tests := []struct {
		name string
		t    table
		text string
		want string
	}{
		{"not TOML", routesTable, "[[routes]]\nkind = \"a\"\nhalf =\n", "line 3: routes.half: "},
		{"wrong type", poolsTable, "[[servers]]\npool = \"a\"\nslots = \"many\"\n", "servers.slots"},
		{"unknown key", routesTable, "[[routes]]\nkind = \"a\"\npol = \"x\"\n", "f.toml: routes.pol: unknown key (line 3)"},
		{"unknown section", routesTable, "\n[[route]]\nkind = \"a\"\n", "f.toml: route: unknown key (line 2)"},
		{"pools in a routes file", routesTable, "[[pools]]\nname = \"a\"\nhalf = \"a\"\n", "f.toml: pools: does not belong in a routes file"},
		{"routes in a pools file", poolsTable, "[[routes]]\nkind = \"a\"\n", "f.toml: routes: does not belong in a pools file"},
		{"no such pool", bothTables, "[[routes]]\nkind = \"a\"\nhalf = \"n\"\npool = \"x\"\n", `f.toml: routes: kind "a": no pool "x" (line 2)`},
		{"half missing", bothTables, "[[pools]]\nname = \"a\"\n", `f.toml: pools: pool "a": name and half must be set (line 2)`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f.toml")
			if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := readRows(tt.t, []string{path})
			if err == nil {
				_, err = ReadFiles([]string{path})
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("have %v, want %s", err, tt.want)
			}
		})
	}
}
