package membership

import (
	"slices"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/table"
)

// Choose returns the witnesses of the named node. It keeps those of the current set that
// are still candidates, and fills the set up by rendezvous hashing, so that the set
// changes only when a witness ends or too few were known.
func Choose(name string, current, candidates []table.Witness) []table.Witness {
	chosen := make([]table.Witness, 0, maxWitnesses)
	for _, w := range current {
		if slices.Contains(candidates, w) {
			chosen = append(chosen, w)
		}
	}
	bySession := make(map[string]table.Witness)
	var sessions []string
	for _, w := range candidates {
		if !slices.Contains(chosen, w) {
			bySession[w.Session] = w
			sessions = append(sessions, w.Session)
		}
	}
	for _, s := range engine.Rendezvous(name, sessions, nil, maxWitnesses-len(chosen)) {
		chosen = append(chosen, bySession[s])
	}
	return chosen
}

// CanGrow reports whether [Choose] would name more witnesses than the set has.
func CanGrow(set, candidates []table.Witness) bool {
	return len(set) < min(maxWitnesses, len(candidates))
}

// MayReplace reports whether enough witnesses of a node have promised to give it no
// more consent, so that its session may be ended.
func MayReplace(set []table.Witness, promised map[string]bool) bool {
	return countIn(set, promised) >= promisesNeeded(len(set))
}

func countIn(set []table.Witness, sessions map[string]bool) (n int) {
	for _, w := range set {
		if sessions[w.Session] {
			n++
		}
	}
	return n
}
