package caller

import (
	"time"
)

const (
	// minSpreadEngines is the number of engines from which an adapter may be loaded on more than its
	// preferred engines. In a smaller pool these are a large part of all engines, and more
	// copies take too many slots from other adapters.
	minSpreadEngines = 24
	// One adapter may be loaded on 1/spreadShareDivisor of the engines of a large pool.
	spreadShareDivisor = 3
	// minSpreadRequests is the number of requests for an adapter that run or wait at one engine from
	// which another copy is loaded, whatever the number of nodes that they come from. Below it, the
	// requests wait for those to other adapters, and a copy shortens their wait only briefly.
	minSpreadRequests = 4
	// spreadWaitStep is the queue wait for which one copy more is loaded at the same time. Each
	// copy is known to the other nodes only a second or two later, and by then the queue has grown.
	spreadWaitStep = 150 * time.Millisecond
	// maxCopiesAtOnce bounds the copies that one request makes engines load.
	maxCopiesAtOnce = 3
	// holderKnownFor is the time after which the rows of the engines show what was loaded.
	holderKnownFor = 3 * time.Second
	// maxHolders bounds the engines with the adapter that a request asks before it waits in a
	// queue. Each costs a message to an owner, and with more choices the queues are hardly shorter.
	maxHolders = preferredEngines
	// maxFurtherEngines bounds the engines without the adapter that a request asks to load it.
	maxFurtherEngines = 2
)

// placement is where an adapter is and may be loaded, among the engines of a pool.
type placement struct {
	preferred []string // preferred engines, in order
	holders   []string // engines that have it loaded
	targets   []string // engines that may load a copy, in order
	mayExceed bool     // the adapter may be loaded on more than the preferred engines
}

// maxEngines returns the number of engines of a pool that may load one adapter.
func maxEngines(pool int) int {
	if pool < minSpreadEngines {
		return preferredEngines
	}
	return max(preferredEngines, pool/spreadShareDivisor)
}

// placementOf returns the placement of an adapter. ranked is the order in which its copies are
// loaded, the same on all nodes: the preferred engines first.
func (a *Acquirer) placementOf(now time.Time, ranked []string, adapter string) placement {
	p := placement{preferred: ranked[:min(preferredEngines, len(ranked))], mayExceed: len(ranked) > preferredEngines}
	for _, name := range ranked {
		if a.HasLoaded(name, adapter) || p.mayExceed && a.isKnownHolder(now, name, adapter) {
			p.holders = append(p.holders, name)
		} else {
			p.targets = append(p.targets, name)
		}
	}
	return p
}

// further returns the engines to try after a refusal by those that have the adapter loaded: the next
// ones that may load a copy if the adapter is in demand, which may serve the request sooner, else
// the preferred ones.
func (p placement) further(r *Refusal) []string {
	if p.mayExceed && r != nil && r.AdapterRequests >= minSpreadRequests && len(p.targets) > 0 {
		return p.targets[:min(len(p.targets), maxFurtherEngines)]
	}
	return p.preferred
}

// copiesFor returns the number of copies to load after a refusal by the engines that have the adapter
// loaded. isFrequent is set if this node has many requests for it.
func (p placement) copiesFor(r *Refusal, isFrequent bool) int {
	switch {
	case r.QueueWait <= minCopyWait:
		return 0
	case p.mayExceed && r.AdapterRequests >= minSpreadRequests:
		return min(maxCopiesAtOnce, 1+int(r.QueueWait/spreadWaitStep))
	case isFrequent:
		return 1
	}
	return 0
}

// holderKey is an adapter at an engine.
type holderKey struct{ engine, adapter string }

// maxKnownHolders bounds the engines and adapters that a node remembers beside the engines' rows.
const maxKnownHolders = 8192

// recordHolder records that an engine has an adapter loaded, by what its owner said.
func (a *Acquirer) recordHolder(now time.Time, name, adapter string) {
	if a.HasLoaded == nil || a.HasLoaded(name, adapter) {
		return
	}
	a.Mu.Lock()
	defer a.Mu.Unlock()
	if a.holders == nil || len(a.holders) >= maxKnownHolders {
		a.holders = make(map[holderKey]time.Time)
	}
	a.holders[holderKey{name, adapter}] = now
}

// isKnownHolder reports whether an engine's owner said lately that the adapter is loaded there.
func (a *Acquirer) isKnownHolder(now time.Time, name, adapter string) bool {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	at, ok := a.holders[holderKey{name, adapter}]
	return ok && now.Sub(at) < holderKnownFor
}
