// Package membership decides how a node's lease is extended by other nodes, between two
// renewals in the table and while the table cannot be reached, and when a node that seems
// to have ended may be replaced.
//
// Every node names a few witnesses in the table. To extend its lease, it asks them for
// their consent, and restarts the lease if enough of them agree. A
// node that wants to replace the owner needs the promises of enough of these witnesses
// that they will agree no more. The two numbers are chosen so that a witness would have
// to do both. A witness promises only when its last consent is older than a lease, so
// the lease of the owner has ended by then. It does not matter which members the owner
// knows: whoever joins later reads the witnesses in the table. The model is
// model/extension.pml.
//
// A table that is restored from a copy has lost its last writes, and gives out versions
// again. [Generations] decides from when no lease of before the restore is left.
//
// The number of messages per node does not depend on the number of nodes.
//
// # Usage
//
//	set := membership.Choose(name, current, candidates)  // at the owner, written with its session
//	round := membership.NewRound(sets)                    // at the owner, for each extension
//	round.Add(witness.Session)                            // for each consent
//	ok := round.Enough()
//
//	ok = promises.Consent(process, generation, version, now) // at the witness
//	ok = promises.Promise(process, generation, version, now)
//
//	ok = membership.MayReplace(set, promised)             // at the node that replaces it
//
//	generations.Advance(generation, now)                  // once the table was restored
//	ok = generations.Settled(now)                         // at a node that takes over by a row of the copy
//
// # Not covered
//
// The package sends no messages and reads no clock. Witnesses keep their promises in
// memory: a witness whose session has ended gives no consent under that session again,
// and counts as having promised once that was known for longer than a lease.
package membership
