package check

import (
	"cmp"
	"slices"
)

// Rule names what a finding breaks.
type Rule string

// The rules.
const (
	Unreadable      Rule = "unreadable"        // nodes ignore the whole configuration
	WrongType       Rule = "wrong-type"        // of a value: nodes ignore the whole file, and the rest was not checked
	UnknownType     Rule = "unknown-type"      // of a route, whose requests then run once at most
	NeverMatches    Rule = "never-matches"     // no request can match the entry, or only one with escapes in its path
	DuplicateName   Rule = "duplicate-name"    // of two entries of one list
	UndeclaredPool  Rule = "undeclared-pool"   // a route sends requests to a pool that does not exist
	UnusedPool      Rule = "unused-pool"       // no route sends requests to the pool
	NoServer        Rule = "no-server"         // the route or pool has no servers by the file
	NoKey           Rule = "no-key"            // no caller can authenticate as the account, or as any
	UnusableKey     Rule = "unusable-key"      // the key authenticates nobody
	SharedKey       Rule = "shared-key"        // the key of two accounts, which authenticates nobody
	Contradiction   Rule = "contradiction"     // a limit that makes another one meaningless, or refuses everything
	WithoutEffect   Rule = "without-effect"    // a value that changes nothing
	VersionNotNewer Rule = "version-not-newer" // than the one in force, which has other contents
	Refused         Rule = "refused"           // the settings refuse the document
)

// Place is where a part of a configuration stands in its file.
type Place struct {
	Line int    `json:"line"` // from 1; 0 if it is not known
	Path string `json:"path"`
}

// Finding is a mistake in a configuration.
type Finding struct {
	Place
	Rule    Rule   `json:"rule"`
	Message string `json:"message"`
}

// IsIncomplete reports whether a file could not be decoded as a whole, so that it cannot be compared.
func IsIncomplete(faults []Finding) bool {
	return slices.ContainsFunc(faults, func(f Finding) bool { return f.Rule == WrongType })
}

// Sort sorts findings by their lines, and those of one line by their paths and rules.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Message, b.Message))
	})
}
