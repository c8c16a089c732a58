package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/transport"
)

const (
	// reachInterval is the time between two attempts to connect to a server of a pool that this node is
	// cut off from.
	reachInterval = 250 * time.Millisecond
	// noAnswerTime is how long a request must have been without an answer when it ends, for its server to
	// be taken for out of reach with others.
	noAnswerTime = 250 * time.Millisecond
	// unreachableTime is how long a node that reaches no server of a pool either is asked no more, and
	// busyTime how long one that cannot serve requests for now.
	unreachableTime = 2 * time.Second
	busyTime        = 100 * time.Millisecond
)

// relayNodes chooses the nodes that requests are relayed to.
type relayNodes struct {
	addresses func() map[string]string // of the other nodes that take requests, by name
	// hasPlace reports whether a node may send requests to a server of a pool.
	hasPlace func(node, pool string) bool

	mu      sync.Mutex
	refused map[relayKey]time.Time // until when a node is not asked
}

type relayKey struct{ pool, address string }

// next implements the Next function of [relay.Relays].
func (n *relayNodes) next(pool string, tried map[string]bool) (address string, ok bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for node, a := range n.addresses() {
		if tried[a] || now.Before(n.refused[relayKey{pool, a}]) || !n.hasPlace(node, pool) {
			continue
		}
		count++
		if rand.IntN(count) == 0 {
			address = a
		}
	}
	return address, count > 0
}

// setRefused implements the Refused function of [relay.Relays].
func (n *relayNodes) setRefused(pool, address string, isUnreachable bool) {
	d := busyTime
	if isUnreachable {
		d = unreachableTime
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[relayKey]time.Time)
	}
	for k, until := range n.refused {
		if now.After(until) {
			delete(n.refused, k)
		}
	}
	n.refused[relayKey{pool, address}] = now.Add(d)
}

// newRelays returns the relays of the daemon. Their connections are apart from those of the peer protocol,
// whose calls must not wait behind responses.
func (d *Daemon) newRelays() *relay.Relays {
	nodes := &relayNodes{addresses: d.node.OtherNodes, hasPlace: d.hasPlace}
	return &relay.Relays{
		Node: d.settings.Node, IsCutOff: d.isCutOff, HasPlace: func(pool string) bool { return d.hasPlace(d.settings.Node, pool) }, Next: nodes.next, Refused: nodes.setRefused,
		NewRequest: platform.NewNodeRequest, Transport: d.network.newPeerClient().Transport,
	}
}

// isCutOff reports whether this node reaches no server of a pool.
func (d *Daemon) isCutOff(pool string) bool {
	return d.transports.reach.IsCutOff(time.Now(), pool, d.serversOf(pool))
}

func (d *Daemon) serversOf(pool string) func() []*backend.Server {
	return func() []*backend.Server { return d.state.servers.View().Pool(pool) }
}

// hasPlace reports whether a node may send requests to a server of a pool of plain servers, as far as they are
// brittle. The owner of a model engine sees to that there.
func (d *Daemon) hasPlace(node, pool string) bool {
	now := time.Now()
	servers := d.state.servers.View().Pool(pool)
	for _, s := range servers {
		if _, isBrittle := d.balancer.Brittle.Refusals(now, s); !isBrittle || !s.Draining && d.places.get(s, node) > 0 {
			return true
		}
	}
	return len(servers) == 0
}

// watchReach connects to a server of each pool that this node is cut off from, or may be, from time to time,
// until the daemon ends.
func (d *Daemon) watchReach() {
	t := time.NewTicker(reachInterval)
	defer t.Stop()
	cutOff := make(map[string]bool)
	for {
		select {
		case <-t.C:
		case <-d.ctx.Done():
			return
		}
		routes, view := d.state.routes.Load(), d.state.servers.View()
		if routes == nil || view == nil {
			continue
		}
		for _, p := range routes.Pools() {
			isCutOff := d.isCutOff(p.Name)
			if isCutOff != cutOff[p.Name] {
				cutOff[p.Name] = isCutOff
				d.log.Warn("path to the servers of a pool", "pool", p.Name, "cut-off", isCutOff)
			}
			d.tryServers(p.Name, view.Pool(p.Name))
		}
		d.transports.reach.Keep(view.Addresses())
	}
}

// tryServers connects to some of the servers of a pool, if the node is cut off from it or may be.
func (d *Daemon) tryServers(pool string, servers []*backend.Server) {
	servers = slices.Clone(servers)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range d.transports.reach.ToTry(time.Now(), pool, servers) {
		wg.Go(func() { d.tryServer(s.Address) })
	}
}

func (d *Daemon) tryServer(address string) {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout+reachInterval) // dial has a timeout of its own
	defer cancel()
	conn, err := d.transports.dial(ctx, "tcp", address)
	if err != nil {
		return // recorded by dial
	}
	d.transports.reach.ObserveAnswer(time.Now(), address)
	_ = conn.Close() // nothing was sent
}

// observeFailure records that a request that was sent at the given time got no response.
func (c *poolTransports) observeFailure(r *http.Request, sent time.Time, err error) {
	now := time.Now()
	var op *net.OpError
	switch {
	case transport.IsDialError(err): // recorded by dial
	case r.Context().Err() != nil && now.Sub(sent) >= noAnswerTime:
		c.reach.ObserveNoAnswer(now, r.URL.Host)
	case r.Context().Err() == nil && errors.As(err, &op):
		c.reach.ObserveFailure(now, r.URL.Host)
	}
}
