package hub

import (
	"testing"
	"time"

	"snipehub.example/roster"
	"snipehub.example/tables"
)

// A process with unconfirmed tables that is cut off alone must not place work: it might
// use backend servers that belong to the other half by now. If its whole data centre is
// cut off, it must continue.
func TestMayPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	// neighbour answered a call sent the given number of seconds ago and reported the
	// given age of its confirmation, or none if age is -1.
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
		name        string
		confirmedAt time.Time
		resumedAt   time.Time
		neighbours  list
		want        bool
	}{
		{"confirmed", ago(8), time.Time{}, list{silent}, true},
		{"too old, and nobody answers", ago(9), time.Time{}, list{silent}, false},
		{"too old, and the last answer is old", ago(9), time.Time{}, list{neighbour(4, 9, 3)}, false},
		{"too old, and a neighbour is as old", ago(9), time.Time{}, list{silent, neighbour(1, 8, 3)}, true},
		{"too old, and a neighbour never confirmed", ago(9), time.Time{}, list{neighbour(1, -1, 3)}, true},
		{"too old, and a neighbour has newer tables", ago(9), time.Time{}, list{neighbour(1, 20, 4), neighbour(1, 20, 3)}, false},
		{"too old, and a neighbour is confirmed", ago(9), time.Time{}, list{neighbour(1, 2, 3)}, false},
		{"too old, with no neighbour known", ago(9), time.Time{}, nil, true},
		{"resumed, and nobody answered since", time.Time{}, ago(1), list{neighbour(2, 20, 3)}, false},
		{"resumed, and a neighbour as old answered since", time.Time{}, ago(2), list{neighbour(1, 20, 3)}, true},
		{"resumed, and confirmed since", ago(0), ago(1), list{silent}, true},
	}
	for _, tt := range tests {
		s := placementState{
			now: now, confirmedAt: tt.confirmedAt, version: 3, resumedAt: tt.resumedAt,
			settleTime: 8 * time.Second, maxAnswerAge: 3 * time.Second, neighbours: tt.neighbours,
		}
		if got := s.mayPlace(); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}
