package settings

import (
	"hash/maphash"
	"iter"
	"maps"
)

const shardCount = 256

// shardedMap is an immutable hash map that is split into parts. A modified copy
// shares all parts but one with the original. The zero value is empty.
type shardedMap[K comparable, V any] struct {
	parts *[shardCount]map[K]V
	n     int
}

var shardSeed = maphash.MakeSeed()

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(shardSeed, k) % shardCount)
}

func (s shardedMap[K, V]) get(k K) (v V, ok bool) {
	if s.parts == nil {
		return v, false
	}
	v, ok = s.parts[shardOf(k)][k]
	return v, ok
}

// withChangedPart returns a copy in which update was applied to the part of k.
func (s shardedMap[K, V]) withChangedPart(k K, update func(part map[K]V)) shardedMap[K, V] {
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
	update(part)
	parts[i] = part
	return shardedMap[K, V]{parts, s.n + len(part) - before}
}

func (s shardedMap[K, V]) put(k K, v V) shardedMap[K, V] {
	return s.withChangedPart(k, func(part map[K]V) { part[k] = v })
}

func (s shardedMap[K, V]) delete(k K) shardedMap[K, V] {
	return s.withChangedPart(k, func(part map[K]V) { delete(part, k) })
}

func (s shardedMap[K, V]) len() int { return s.n }

func (s shardedMap[K, V]) values() iter.Seq[V] {
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
