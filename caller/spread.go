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
	// copyKnownAfter is the time after which the rows of the engines show a copy that was loaded.
	copyKnownAfter = 3 * time.Second
	// maxHolders bounds the engines with the adapter that a request asks before it waits in a
	// queue. Each costs a message to an owner, and with more choices the queues are hardly shorter.
	maxHolders = preferredEngines
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
		if a.HasLoaded(name, adapter) || p.mayExceed && a.isRecentCopy(now, name, adapter) {
			p.holders = append(p.holders, name)
		} else {
			p.targets = append(p.targets, name)
		}
	}
	return p
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

// recentCopy is a copy that this node made an engine load.
type recentCopy struct {
	engine, adapter string
	at              time.Time
}

// recordCopy records a copy that has been loaded.
func (a *Acquirer) recordCopy(now time.Time, name, adapter string) {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	kept := a.copies[:0]
	for _, c := range a.copies {
		if now.Sub(c.at) < copyKnownAfter {
			kept = append(kept, c)
		}
	}
	a.copies = append(kept, recentCopy{name, adapter, now})
}

// isRecentCopy reports whether this node made an engine load an adapter, and the engine's row may not
// show it yet.
func (a *Acquirer) isRecentCopy(now time.Time, name, adapter string) bool {
	a.Mu.Lock()
	defer a.Mu.Unlock()
	for _, c := range a.copies {
		if c.engine == name && c.adapter == adapter && now.Sub(c.at) < copyKnownAfter {
			return true
		}
	}
	return false
}
