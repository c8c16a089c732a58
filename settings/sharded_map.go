package settings

import (
	"hash/maphash"
	"iter"
	"maps"
)

const shardCount = 256

// shardedMap is an immutable hash map that is split into shards. A modified copy
// shares all shards but one with the original. The zero value is empty.
type shardedMap[K comparable, V any] struct {
	shards *[shardCount]map[K]V
	n      int
}

var shardSeed = maphash.MakeSeed()

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(shardSeed, k) % shardCount)
}

func (s shardedMap[K, V]) get(k K) (v V, ok bool) {
	if s.shards == nil {
		return v, false
	}
	v, ok = s.shards[shardOf(k)][k]
	return v, ok
}

// withUpdatedShard returns a copy in which update was applied to the shard of k.
func (s shardedMap[K, V]) withUpdatedShard(k K, update func(shard map[K]V)) shardedMap[K, V] {
	shards := new([shardCount]map[K]V)
	if s.shards != nil {
		*shards = *s.shards
	}
	i := shardOf(k)
	shard := maps.Clone(shards[i])
	if shard == nil {
		shard = make(map[K]V)
	}
	before := len(shard)
	update(shard)
	shards[i] = shard
	return shardedMap[K, V]{shards, s.n + len(shard) - before}
}

func (s shardedMap[K, V]) put(k K, v V) shardedMap[K, V] {
	return s.withUpdatedShard(k, func(shard map[K]V) { shard[k] = v })
}

func (s shardedMap[K, V]) delete(k K) shardedMap[K, V] {
	return s.withUpdatedShard(k, func(shard map[K]V) { delete(shard, k) })
}

func (s shardedMap[K, V]) len() int { return s.n }

func (s shardedMap[K, V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		if s.shards == nil {
			return
		}
		for _, shard := range s.shards {
			for _, v := range shard {
				if !yield(v) {
					return
				}
			}
		}
	}
}
