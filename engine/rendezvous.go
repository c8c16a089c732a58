package engine

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the first k names in the order of weighted rendezvous
// hashing for the key. All nodes with the same list of names get the same order,
// and removing a name remaps only the keys assigned to it. Names with a weight
// of 0 or less are excluded. A nil weight function gives all names equal weight.
func Rendezvous(key string, names []string, weight func(name string) float64, k int) []string {
	type scored struct {
		name  string
		score float64
	}
	ranked := make([]scored, 0, len(names))
	seed := xxhash.Sum64String(key)
	for _, name := range names {
		w := 1.0
		if weight != nil {
			w = weight(name)
		}
		if w <= 0 {
			continue
		}
		ranked = append(ranked, scored{name, -math.Log(unit(mix(seed^xxhash.Sum64String(name)))) / w})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	out := make([]string, 0, k)
	for _, s := range ranked[:min(k, len(ranked))] {
		out = append(out, s.name)
	}
	return out
}

// mix is the finaliser of SplitMix64. It decorrelates the xor of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to the open interval (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
