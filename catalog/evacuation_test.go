package catalog

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snipehub.example/registry"
)

func put(dc string, offset registry.Offset) EvacuationChange {
	return EvacuationChange{Evacuation: Evacuation{dc, offset}}
}

func removed(dc string, offset registry.Offset) EvacuationChange {
	return EvacuationChange{Evacuation: Evacuation{dc, offset}, Removed: true}
}

func (e Evacuations) names() (out []string) {
	for _, v := range e.Requested {
		out = append(out, v.DataCenter)
	}
	return out
}

// Records arrive in one read or several, repeated, or from a member that has read further. Older
// ones must not undo newer ones.
func TestEvacuations(t *testing.T) {
	before := NewEvacuations([]EvacuationChange{put("a", 5)}, 10)
	tests := []struct {
		name string
		got  Evacuations
		want []string
	}{
		{"requested", before, []string{"a"}},
		{"taken back", before.Apply([]EvacuationChange{removed("a", 11)}, 12), nil},
		{"taken back and requested again in one read", before.Apply([]EvacuationChange{removed("a", 11), put("a", 12)}, 13), []string{"a"}},
		{"requested and taken back in one read", before.Apply([]EvacuationChange{put("b", 11), removed("b", 12)}, 13), []string{"a"}},
		{"two data centres", before.Apply([]EvacuationChange{put("b", 11)}, 12), []string{"a", "b"}},
		{"a record that was read before", before.Apply([]EvacuationChange{removed("a", 4)}, 10), []string{"a"}},
		{"the topic read as a whole, without it", before.Merge(NewEvacuations(nil, 20)), nil},
		{"the topic read as a whole, newer", before.Merge(NewEvacuations([]EvacuationChange{put("a", 15)}, 20)), []string{"a"}},
		{"a member that has read less", before.Merge(NewEvacuations([]EvacuationChange{put("b", 2)}, 4)), []string{"a"}},
		{"a member that has read more", before.Merge(NewEvacuations([]EvacuationChange{put("a", 5), put("b", 12)}, 13)), []string{"a", "b"}},
		{"own reads that lag behind a member's", before.Merge(NewEvacuations(nil, 20)).Apply([]EvacuationChange{put("b", 12)}, 13), nil},
		{"a record that the pages of a read overtook", NewEvacuations([]EvacuationChange{put("a", 12)}, 10).Apply([]EvacuationChange{removed("a", 11), put("a", 12)}, 13), []string{"a"}},
	}
	for _, tt := range tests {
		if !slices.Equal(tt.got.names(), tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, tt.got.names(), tt.want)
		}
	}
}

// Processes read the topic at different times, as a whole or further on, and tell each other in
// any order. Each must end up with what the records up to its position say.
func TestEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []EvacuationChange
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			dc := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "dc"))
			log = append(log, EvacuationChange{Evacuation{dc, registry.Offset(i)}, rapid.Bool().Draw(t, "removed")})
		}
		truth := func(end registry.Offset) []string {
			last := make(map[string]bool)
			for _, c := range log[:end] {
				last[c.DataCenter] = !c.Removed
			}
			var out []string
			for _, dc := range []string{"0", "1", "2"} {
				if last[dc] {
					out = append(out, dc)
				}
			}
			return out
		}
		states := make([]Evacuations, 3)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			end := registry.Offset(rapid.IntRange(1, len(log)).Draw(t, "end"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				states[i] = states[i].Merge(NewEvacuations(log[:end], end))
			case 1:
				states[i] = states[i].Merge(states[(i+1)%3])
			case 2:
				from := registry.Offset(rapid.IntRange(0, int(min(end, states[i].End))).Draw(t, "from"))
				states[i] = states[i].Apply(log[from:end], end)
			}
			if got := states[i].names(); !slices.Equal(got, truth(states[i].End)) {
				t.Fatalf("process %d at %d: %v, want %v", i, states[i].End, got, truth(states[i].End))
			}
		}
	})
}
