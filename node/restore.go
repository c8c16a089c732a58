package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/table"
)

// ObserveGeneration tells the node the generation of the table that a response stated. A
// later one than before means that the table was restored from a copy: what nodes wrote in
// the last seconds is lost, and versions are given out again. The node then ends all its
// ownerships and registers a new session. It takes the engines that it owned under a valid
// lease over again at once; other engines only once no lease of before can be left. It
// does not block.
func (n *Node) ObserveGeneration(generation int64) {
	n.generationLock.Lock()
	defer n.generationLock.Unlock()
	known := n.generations.Current()
	if generation <= known {
		return
	}
	// Promises and session timers name versions that are given out again. They end before the
	// new generation is known, so that none of that is lost.
	n.promises.StartGeneration(generation)
	n.members.recordReadFailure()
	n.clearClaims()
	n.generations.Advance(generation, time.Now())
	if known == 0 {
		n.log.Info("the table states its generation", "generation", generation)
	} else {
		n.log.Warn("the table was restored from a copy; registering again", "generation", generation)
	}
	n.tasks.Go(func() { n.registerAgain(n.ctx, generation) })
}

// registerAgain registers the session in a new generation of the table.
func (n *Node) registerAgain(ctx context.Context, generation int64) {
	claims, registered := n.session.restart(ctx, generation)
	if n.recordClaims(generation, claims) && registered {
		n.log.Info("ended the ownership of all engines", "generation", generation, "claims", len(claims))
		n.join()
		for name := range claims {
			n.tasks.Go(func() { n.takeOverClaimed(ctx, name) })
		}
	}
	for !n.generations.Settled(time.Now()) && ctx.Err() == nil {
		n.pollMembers(ctx) // shows early who has registered again
		sleep(ctx, settlePollInterval)
	}
	n.pollMembers(ctx) // takes over what was not claimed
}

// settlePollInterval is the time between two reads of the sessions while leases of before a
// restore may be in use.
const settlePollInterval = 500 * time.Millisecond

func (n *Node) clearClaims() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.claims)
	clear(n.ownerHints)
	clear(n.ownerChecks)
}

// recordClaims records the engines that this node may take over again at once, since no other
// node can have owned them when the table was restored. It returns false if a later
// generation has begun.
func (n *Node) recordClaims(generation int64, claims map[string]bool) bool {
	n.generationLock.Lock()
	defer n.generationLock.Unlock()
	if generation < n.generations.Current() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.Copy(n.claims, claims)
	return true
}

// hasClaim reports whether this node owned an engine when the table was restored, and its
// ownership row has not been written since.
func (n *Node) hasClaim(engineName string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims[engineName]
}

// dropClaim records that an ownership row of the current generation of the table exists.
func (n *Node) dropClaim(engineName string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.claims, engineName)
}

// takeOverClaimed takes an engine over again once the commands of the former ownership have
// ended, so that they do not arrive after those under a later token.
func (n *Node) takeOverClaimed(ctx context.Context, name string) {
	for n.hasCommandsInFlight(name) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, handoverPollInterval)
	}
	n.takeOverReleased(name)
}

// hasCommandsInFlight reports whether commands of former ownerships of this process may
// still arrive at an engine.
func (n *Node) hasCommandsInFlight(engineName string) bool {
	return slices.ContainsFunc(n.formerOwnerships(engineName), (*ownedEngine).hasCommandsInFlight)
}

// mayTakeOverFromCopy reports whether this node may take over an engine whose ownership
// row, if any, is of an earlier generation of the table, and how long it then sends no commands. The row
// may have been replaced in writes that were lost.
func (n *Node) mayTakeOverFromCopy(engineName string) (delay time.Duration, ok bool) {
	if n.hasClaim(engineName) {
		return n.commandTimesOf(engineName).noneLeft(), true
	}
	return n.ownerAlternationDelay(), n.generations.Settled(time.Now())
}

// confirmGenerations records which members know the current generation of the table.
// The caller holds m.mu.
func (m *members) confirmGenerations() {
	now, present := time.Now(), make(map[string]bool)
	for _, mem := range m.list {
		if mem.Node == m.n.cfg.Name {
			continue
		}
		present[mem.Node] = true
		if !mem.Fenced { // the lease of a fenced session had ended
			m.n.generations.Observe(mem.Node, mem.Address, mem.Generation, now)
		}
	}
	m.n.generations.Retain(func(name string) bool { return present[name] }, now)
}

// isStale reports whether rows were read in an earlier generation of the table.
func (m *members) isStale(rows []table.Row) bool {
	return len(rows) > 0 && rows[0].Generation < m.n.generations.Current()
}
