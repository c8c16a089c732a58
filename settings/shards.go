package settings

import (
	"hash/maphash"
	"iter"
	"maps"
)

const shardCount = 256

// shards is an immutable map in parts, so that a changed copy shares all parts
// but one with the original. The zero value is empty.
type shards[K comparable, V any] struct {
	parts *[shardCount]map[K]V
	n     int
}

var shardSeed = maphash.MakeSeed()

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(shardSeed, k) % shardCount)
}

func (s shards[K, V]) get(k K) (v V, ok bool) {
	if s.parts == nil {
		return v, false
	}
	v, ok = s.parts[shardOf(k)][k]
	return v, ok
}

// with returns a copy in which change was applied to the part that holds k.
func (s shards[K, V]) with(k K, change func(part map[K]V)) shards[K, V] {
	parts := new([shardCount]map[K]V)
	if s.parts != nil {
		*parts = *s.parts
	}
	i := shardOf(k)
	part := maps.Clone(parts[i])
	if part == nil {
		part = make(map[K]V)
	}
	before := len(part)
	change(part)
	parts[i] = part
	return shards[K, V]{parts, s.n + len(part) - before}
}

func (s shards[K, V]) put(k K, v V) shards[K, V] {
	return s.with(k, func(part map[K]V) { part[k] = v })
}

func (s shards[K, V]) del(k K) shards[K, V] {
	return s.with(k, func(part map[K]V) { delete(part, k) })
}

func (s shards[K, V]) len() int { return s.n }

func (s shards[K, V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		if s.parts == nil {
			return
		}
		for _, part := range s.parts {
			for _, v := range part {
				if !yield(v) {
					return
				}
			}
		}
	}
}
