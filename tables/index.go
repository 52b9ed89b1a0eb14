package tables

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of an index. A change copies only the shards that it
// touches: with 13,000 servers that is about a hundred entries each, while a copy of the
// whole map would cost every process a millisecond for each edit.
const shardCount = 128

var hashSeed = maphash.MakeSeed()

// index is an immutable map; a writer derives the next one from it. The zero value is
// empty.
type index[K comparable, V any] struct {
	shards [shardCount]map[K]V
	size   int
}

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(hashSeed, k) % shardCount)
}

func (x *index[K, V]) get(k K) (V, bool) {
	v, ok := x.shards[shardOf(k)][k]
	return v, ok
}

func (x *index[K, V]) len() int { return x.size }

// all calls yield for each entry, in no particular order.
func (x *index[K, V]) all(yield func(K, V) bool) {
	for _, shard := range x.shards {
		for k, v := range shard {
			if !yield(k, v) {
				return
			}
		}
	}
}

// writer builds a new index from another one, which stays unchanged. owned marks the
// shards that were copied; any is set once the index itself was copied.
type writer[K comparable, V any] struct {
	x     *index[K, V]
	owned [shardCount]bool
	any   bool
}

func newWriter[K comparable, V any](x *index[K, V]) *writer[K, V] {
	return &writer[K, V]{x: x}
}

func (w *writer[K, V]) get(k K) (V, bool) { return w.x.get(k) }

func (w *writer[K, V]) set(k K, v V) {
	shard := w.shard(k)
	if _, ok := shard[k]; !ok {
		w.x.size++
	}
	shard[k] = v
}

func (w *writer[K, V]) remove(k K) {
	if _, ok := w.x.get(k); !ok {
		return
	}
	delete(w.shard(k), k)
	w.x.size--
}

// shard returns the shard that holds k, which is copied at most once by this writer.
func (w *writer[K, V]) shard(k K) map[K]V {
	if !w.any {
		c := *w.x
		w.x, w.any = &c, true
	}
	i := shardOf(k)
	if !w.owned[i] {
		w.owned[i] = true
		if w.x.shards[i] == nil {
			w.x.shards[i] = make(map[K]V)
		} else {
			w.x.shards[i] = maps.Clone(w.x.shards[i])
		}
	}
	return w.x.shards[i]
}

// done returns the new index; the writer must not be used afterwards.
func (w *writer[K, V]) done() *index[K, V] { return w.x }
