// Package settings holds the operators' settings as a tree and applies changes to
// it in revision order.
//
// A [Tree] is immutable. It is a set of documents (branches, adapters,
// callers, backend servers and plain services) at one revision. Branches are named
// by slash-separated paths. A branch inherits each field that it does not set from
// its parent, up to the root branch "/". Cycles are impossible, since a branch's
// name contains that of its parent. A branch without a parent is refused.
//
// [Store] writes changes to the platform's table. Each change is one
// conditional transaction that advances the shared revision, stores the new
// document and appends the audit record.
//
// # Usage
//
//	tree := settings.New()
//	doc, err := tree.Edit(settings.Edit{Kind: settings.Branch, Name: "/council", Set: map[string]string{"class": "short"}})
//	tree, err = tree.WithChanges(settings.Change{Rev: 1, Doc: doc})
//	eff, ok := tree.Branch("/council")
//
// # Not covered
//
// The package does not distribute revisions between nodes (see package peer) and
// does not authorize operators (see package operator).
package settings
