package hub

import (
	"testing"
	"time"

	"snipehub.example/roster"
	"snipehub.example/tables"
)

// A process whose tables are not confirmed may be cut off alone, and then must
// not place work: it would use backend servers that belong to the other half by
// now. Or its whole data centre is cut off, and then must go on.
func TestMayPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	// neighbour answered a call of so many seconds ago and told the age of its
	// confirmation, or -1 for none.
	neighbour := func(answered, age int, v tables.Version) roster.Neighbour {
		told := roster.Member{Tables: v}
		if age >= 0 {
			told.Confirmed, told.Age = true, time.Duration(age)*time.Second
		}
		return roster.Neighbour{LastAnswered: ago(answered), Advertised: told}
	}
	silent := roster.Neighbour{State: roster.Suspect}
	type list = []roster.Neighbour
	tests := []struct {
		name       string
		confirmed  time.Time
		thawed     time.Time
		neighbours list
		want       bool
	}{
		{"confirmed", ago(8), time.Time{}, list{silent}, true},
		{"too old, and nobody answers", ago(9), time.Time{}, list{silent}, false},
		{"too old, and the last answer is old", ago(9), time.Time{}, list{neighbour(4, 9, 3)}, false},
		{"too old, and a neighbour is as old", ago(9), time.Time{}, list{silent, neighbour(1, 8, 3)}, true},
		{"too old, and a neighbour never confirmed", ago(9), time.Time{}, list{neighbour(1, -1, 3)}, true},
		{"too old, and a neighbour has newer tables", ago(9), time.Time{}, list{neighbour(1, 20, 4), neighbour(1, 20, 3)}, false},
		{"too old, and a neighbour is confirmed", ago(9), time.Time{}, list{neighbour(1, 2, 3)}, false},
		{"too old, with no neighbour known", ago(9), time.Time{}, nil, true},
		{"thawed, and nobody answered since", time.Time{}, ago(1), list{neighbour(2, 20, 3)}, false},
		{"thawed, and a neighbour as old answered since", time.Time{}, ago(2), list{neighbour(1, 20, 3)}, true},
		{"thawed, and confirmed since", ago(0), ago(1), list{silent}, true},
	}
	for _, tt := range tests {
		s := standing{
			now: now, confirmed: tt.confirmed, version: 3, thawed: tt.thawed,
			settle: 8 * time.Second, reach: 3 * time.Second, neighbours: tt.neighbours,
		}
		if got := s.mayPlace(); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}
