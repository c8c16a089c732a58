package membership

import "github.com/vanilladrift/vanilladrift/table"

// Round counts the consents to one extension of a lease. While a write of the
// node's witnesses has had no response, either set may be in force, and the extension
// needs enough consents from each.
type Round struct {
	// MinConsents is needed from each set, however few witnesses it has.
	MinConsents int

	consents map[string]bool
}

// Add records the consent of a witness.
func (r *Round) Add(session string) {
	if r.consents == nil {
		r.consents = make(map[string]bool)
	}
	r.consents[session] = true
}

// Enough reports whether enough witnesses of each set have agreed. A node
// without witnesses cannot extend its lease.
func (r *Round) Enough(sets [][]table.Witness) bool {
	for _, set := range sets {
		if len(set) == 0 || countIn(set, r.consents) < max(consentsNeeded(len(set)), r.MinConsents) {
			return false
		}
	}
	return len(sets) > 0
}
