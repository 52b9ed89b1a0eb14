package queue

// orderable is the constraint on the elements of a heap.
type orderable[T any] interface{ before(o T) bool }

// heap is a binary heap with the smallest element at index 0.
type heap[T orderable[T]] []T

func (h *heap[T]) push(v T) {
	*h = append(*h, v)
	h.up(len(*h) - 1)
}

func (h *heap[T]) pop() {
	var zero T
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	(*h)[last] = zero
	*h = (*h)[:last]
	h.down(0)
}

func (h heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].before(h[parent]) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (h heap[T]) down(i int) {
	for {
		first := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h[c].before(h[first]) {
				first = c
			}
		}
		if first == i {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// rebuild restores the heap order after arbitrary changes.
func (h heap[T]) rebuild() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}
