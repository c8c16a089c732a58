package entry

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/listen"
	"github.com/vanilladrift/vanilladrift/memory"
)

const (
	// defaultMemoryShare is the part of the VM's memory that clients may make the process hold. The
	// process holds about as much for itself, and the garbage collector needs room.
	defaultMemoryShare = 0.25
	// connsMemoryShare is the part of that which open connections may take.
	connsMemoryShare = 0.5
	// fileDescriptors is the part of the VM's descriptors that is for files.
	fileDescriptors = 200
	// callerFiles, peerFiles and operatorFiles are the parts of the other descriptors for connections
	// of callers, of nodes, and each of operators and readiness checks, in 32nds. The rest is for
	// connections to backend servers, of which a request has one, and to other nodes and the store.
	callerFiles   = 12
	peerFiles     = 4
	operatorFiles = 1
	fileParts     = 32
	// minBodyProgress is the least time within which some of a body must arrive: a packet that was
	// lost several times comes by then.
	minBodyProgress = time.Second
	// defaultUnreadTimeout is the time within which a client must take some of a response. A slow one
	// is still read: its kernel tells of room when some kilobytes are free. Callers leave after two
	// seconds without an event.
	defaultUnreadTimeout = 3 * time.Second
	// idleFactor, in fifths, and idleMargin make the limit on idle connections. Callers use
	// connections that were idle for up to four fifths of the configured time.
	idleFactor = 6
	idleMargin = time.Second
	// headMargin is added to the configured time for a head, which callers keep to as they see it.
	headMargin = 500 * time.Millisecond

	// Limits of the listeners for nodes, operators and readiness checks. Nodes keep idle connections
	// for 90 s.
	internalHeadBytes   = maxHeadBytes // nodes relay requests with their heads
	internalBodyBytes   = 32 << 20
	internalHeadTimeout = 3 * time.Second
	internalIdleTimeout = 2 * time.Minute
	internalBodyTime    = 15 * time.Second

	// endedInterval is the least time between two log lines on ended connections.
	endedInterval = time.Second
)

// ClientLimits are the limits on clients that the settings of the platform do not state. Zero fields
// stand for the defaults.
type ClientLimits struct {
	MemoryShare   float64       // part of the VM's memory that clients may make the process hold; 0.25 by default
	CallerConns   int           // connections of callers; by default derived from the descriptors and the memory of the VM
	BodyProgress  time.Duration // within which some of a body must arrive; by default the configuration's time for a head
	UnreadTimeout time.Duration // within which a client must take some of a response; 3 s by default
}

// clientLimits applies the limits of a daemon on its clients.
type clientLimits struct {
	daemon *Daemon
	limits ClientLimits
	memory *memory.Budget
	ended  metric.Int64Counter

	mu     sync.Mutex
	counts map[endedKey]int // ended connections since the last log line
}

type endedKey struct{ listener, reason string }

func newClientLimits(d *Daemon, l ClientLimits) *clientLimits {
	share := cmp.Or(l.MemoryShare, defaultMemoryShare)
	c := &clientLimits{
		daemon: d, limits: l, memory: memory.NewBudget(int64(share * float64(d.settings.MemoryBytes))),
		ended:  d.node.Meter().Counter("ended-connections", "connections that were refused or ended, by listener and reason"),
		counts: make(map[endedKey]int),
	}
	d.node.Meter().Gauge("client-memory-bytes", "memory that clients make the process hold", func() float64 { return float64(c.memory.Used()) })
	d.node.Meter().Gauge("client-memory-limit-bytes", "limit on client-memory-bytes; 0 for none", func() float64 { return float64(c.memory.Total()) })
	d.node.Meter().Gauge("client-memory-refusals", "requests and connections that did not fit into that", func() float64 { return float64(c.memory.Refusals()) })
	return c
}

// maxConns returns the number of connections of a listener with a part of the descriptors, or 0 if the
// settings do not state how many the VM has.
func (c *clientLimits) maxConns(part int) int {
	files := c.daemon.settings.MaxFiles
	if files <= 0 {
		return 0
	}
	return max(1, (files-fileDescriptors)*part/fileParts)
}

// maxCallerConns returns the number of connections of callers, or 0 if the settings state neither
// descriptors nor memory.
func (c *clientLimits) maxCallerConns() int {
	n := cmp.Or(c.limits.CallerConns, c.maxConns(callerFiles))
	if total := c.memory.Total(); total > 0 {
		byMemory := max(1, int(float64(total)*connsMemoryShare/listen.ConnBytes))
		n = min(cmp.Or(n, byMemory), byMemory)
	}
	return n
}

// listener returns a listener with limits.
func (c *clientLimits) listener(ln net.Listener, name string, class memory.Class, maxConns int, refusal string) net.Listener {
	return &listen.Listener{Listener: ln, Limits: listen.Limits{
		MaxConns: maxConns, Unread: cmp.Or(c.limits.UnreadTimeout, defaultUnreadTimeout), Memory: c.memory, Class: class,
		Refusal: refusal, OnEnd: func(reason string) { c.observeEnd(name, reason) },
	}}
}

// callerListener returns a listener for callers.
func (c *clientLimits) callerListener(ln net.Listener) net.Listener {
	return c.listener(ln, "callers", memory.OfCaller, c.maxCallerConns(), caller.Unavailable)
}

// internal returns a server for nodes, operators or readiness checks with limits.
func (c *clientLimits) internal(srv *http.Server) *http.Server {
	srv.MaxHeaderBytes, srv.ReadHeaderTimeout, srv.IdleTimeout = internalHeadBytes, internalHeadTimeout, internalIdleTimeout
	srv.Handler = &countedHandler{Handler: srv.Handler, budget: c.memory, maxBytes: internalBodyBytes, maxTime: internalBodyTime}
	return srv
}

// heads returns the limits on the heads of callers' requests. Before a configuration is known there are
// those of the HTTP server only.
func (c *clientLimits) heads() caller.HeadLimits {
	l := caller.HeadLimits{Memory: c.memory, OnEnd: func(reason string) { c.observeEnd("callers", reason) }}
	if t := c.daemon.state.routes.Load(); t != nil {
		limits := t.Limits()
		l.Bytes = limits.HeaderBytes
		if limits.HeaderTimeout > 0 {
			l.Time = limits.HeaderTimeout + headMargin
		}
		if limits.IdleTimeout > 0 {
			l.Idle = limits.IdleTimeout*idleFactor/5 + idleMargin
		}
	}
	return l
}

// bodyProgress returns the time within which some of a body must arrive, or 0.
func (c *clientLimits) bodyProgress() time.Duration {
	if c.limits.BodyProgress > 0 {
		return c.limits.BodyProgress
	}
	t := c.daemon.state.routes.Load()
	if t == nil || t.Limits().HeaderTimeout <= 0 {
		return 0
	}
	return max(minBodyProgress, t.Limits().HeaderTimeout)
}

func (c *clientLimits) observeEnd(listener, reason string) {
	c.ended.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("reason", reason)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[endedKey{listener, reason}]++
}

// run logs ended connections until the daemon stops.
func (c *clientLimits) run() {
	t := time.NewTicker(endedInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.logEnded()
		case <-c.daemon.ctx.Done():
			return
		}
	}
}

func (c *clientLimits) logEnded() {
	c.mu.Lock()
	counts := maps.Clone(c.counts)
	clear(c.counts)
	c.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b endedKey) int {
		return cmp.Or(cmp.Compare(a.listener, b.listener), cmp.Compare(a.reason, b.reason))
	})
	for _, k := range keys {
		c.daemon.log.Info("refused or ended connections", "listener", k.listener, "reason", k.reason, "count", counts[k],
			"memory-held", c.memory.Used(), "memory-limit", c.memory.Total())
	}
}
