package backend

import (
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

const (
	// gateWindow is the time over which it is counted how many requests a pool had no room for.
	gateWindow = 500 * time.Millisecond
	// shortPart is the part of the attempts without room in time from which less is admitted. Below it,
	// the servers' own refusals cost little.
	shortPart = 0.1
	// gateDecrease is the factor on what is admitted after a window with a shortage, gateIncrease what
	// is added after another one, and leastPart the least that is admitted.
	gateDecrease = 0.85
	gateIncrease = 0.05
	leastPart    = 0.2
)

// PoolGates decides which requests to pools of plain servers are refused at once while the servers
// refuse requests or serve them late: those that cost callers less than the most urgent ones there.
// Servers take requests in the order of their arrival, so that what is sent to them competes with
// those. The zero value is ready to use.
type PoolGates struct {
	mu     sync.Mutex
	byPool map[string]*poolGate
}

type poolGate struct {
	gate        schedule.Gate
	windowStart time.Time
	attempts    int
	short       int     // attempts without room in time
	rejected    float64 // how far the part that is admitted lies below 1
}

// Admits reports whether a request may be sent to a pool.
func (p *PoolGates) Admits(now time.Time, pool string, r schedule.GateRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.pool(pool)
	g.update(now)
	return g.gate.AdmitsBehind(now, r, 1-g.rejected)
}

// Observe records an attempt at a server of a pool. isShort is set if the server refused it, or
// served it too late.
func (p *PoolGates) Observe(now time.Time, pool string, isShort bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.pool(pool)
	g.update(now)
	g.attempts++
	if isShort {
		g.short++
	}
}

func (p *PoolGates) pool(name string) *poolGate {
	if p.byPool == nil {
		p.byPool = make(map[string]*poolGate)
	}
	g := p.byPool[name]
	if g == nil {
		g = &poolGate{}
		p.byPool[name] = g
	}
	return g
}

// update changes the part that is admitted at the end of each window. Windows without an attempt
// count as ones without a shortage.
func (g *poolGate) update(now time.Time) {
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	windows := int(now.Sub(g.windowStart) / gateWindow)
	if windows == 0 {
		return
	}
	part := 1 - g.rejected
	if g.attempts > 0 && float64(g.short) > shortPart*float64(g.attempts) {
		part *= gateDecrease
		windows--
	}
	part += gateIncrease * float64(windows)
	g.rejected = 1 - min(1, max(leastPart, part))
	g.windowStart, g.attempts, g.short = now, 0, 0
}
