package model

import "testing"

// Indivisible tasks leave CPU that no other task fits into: only one task of more than half of a
// worker fits, though by cores almost two would.
func TestSizesOfWholeTasks(t *testing.T) {
	tests := []struct {
		name        string
		unit, parts int
		cpu         []int
		freeCPU     int
		of          float64
		most        float64
	}{
		{"cores", 0, 0, []int{11000}, 20000, 11000, 20000},
		{"more than a half", 20000, 1, []int{11000, 12000}, 20000, 1, 1},
		{"the same in a larger worker", 20000, 1, []int{11000, 12000}, 40000, 1, 3},
		{"exactly a half", 20000, 1, []int{10000}, 20000, 0, 0},
		{"more than a third", 20000, 2, []int{7000}, 20000, 1, 2},
		{"thirds and more", 20000, 2, []int{15000, 7000}, 20000, 2, 2},
		{"too large", 20000, 1, []int{21000}, 20000, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := size{unit: tt.unit, parts: tt.parts}
			if s.unit > 0 {
				var jobs []*job
				for _, c := range tt.cpu {
					jobs = append(jobs, &job{cpu: c})
				}
				s.recordMinimums(jobs)
			}
			if of, most := s.of(tt.cpu[0]), s.most(tt.freeCPU); of != tt.of || most != tt.most {
				t.Errorf("size %v, at most %v; want %v and %v", of, most, tt.of, tt.most)
			}
		})
	}
}
