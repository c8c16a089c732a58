package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/peer/peerpb/peerpbconnect"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// joinTries is one write to find the row of an earlier process, one to
	// replace it, and one more; joinPause is a few answers of the table.
	joinTries    = 3
	joinPause    = 20 * time.Millisecond
	gossipFanOut = 2 // peers chosen at random in each round, to spread settings
	downAfter    = 2 // unanswered heartbeats in a row
)

// member is another node, or this one, as its session row shows it.
type member struct {
	table.Session
	version int64
	lapsed  bool
}

// live reports whether the member may own engines.
func (m member) live() bool { return !m.lapsed && !m.Fenced }

// members is the node's view of the other nodes. Membership comes from the
// session rows; heartbeats tell at once which peers do not answer, and carry
// settings revisions.
type members struct {
	n *Node

	mu     sync.Mutex
	watch  table.SessionMonitor
	missed bool // the rows could not be read lately
	list   []member
	links  map[string]*link // by address
	// candidates are the nodes that may own engines, and wanted remembers who
	// should own what, until the candidates change.
	candidates []candidate
	wanted     map[string]string
}

// candidate is a node that may own engines.
type candidate struct {
	name       string
	dataCenter string
}

// link is the connection to one peer address.
type link struct {
	client  peerpbconnect.PeerClient
	calls   map[*int]time.Time // outstanding calls by their start
	misses  int
	process string // the process that last answered
	// down is closed when the peer stops answering, and replaced when it
	// answers again.
	down   chan struct{}
	isDown bool
}

func newMembers(n *Node) *members {
	return &members{
		n:     n,
		watch: table.SessionMonitor{TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin},
		links: make(map[string]*link),
	}
}

// unread records that the session rows could not be read.
func (m *members) unread() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed = true
}

// update takes over session rows that were read from the table.
func (m *members) update(rows []table.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = m.list[:0:0]
	if m.missed {
		m.watch.RestartTimers(now)
		m.missed = false
	}
	for _, row := range rows {
		s, err := table.DecodeSession(row)
		if err != nil {
			m.n.log.Error("session row cannot be read", "err", err)
			continue
		}
		m.watch.Observe(row.Key, row.Version, now)
		m.list = append(m.list, member{Session: s, version: row.Version, lapsed: m.watch.Expired(row.Key, now)})
	}
	m.n.consents.expire(now)
	var candidates []candidate
	for _, x := range m.list {
		if x.live() && !x.Leaving {
			candidates = append(candidates, candidate{x.Node, x.DataCenter})
		}
	}
	if !slices.Equal(candidates, m.candidates) {
		m.candidates, m.wanted = candidates, make(map[string]string)
	}
}

// all returns the members of the last reading, sorted by name.
func (m *members) all() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// countLive returns how many members may own engines.
func (m *members) countLive() (live int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.list {
		if x.live() {
			live++
		}
	}
	return live
}

// get returns the member with the given name.
func (m *members) get(name string) (member, bool) {
	for _, x := range m.all() {
		if x.Node == name {
			return x, true
		}
	}
	return member{}, false
}

// wantedOwner returns the node that should own an engine, or look after another
// thing with a name: the first choice of rendezvous hashing over the live nodes
// that are not leaving. Nodes of the same data centre go first.
func (m *members) wantedOwner(name, dataCenter string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, ok := m.wanted[name]; ok {
		return owner
	}
	var near, all []string
	for _, c := range m.candidates {
		all = append(all, c.name)
		if c.dataCenter == dataCenter {
			near = append(near, c.name)
		}
	}
	if len(near) > 0 {
		all = near
	}
	owner := ""
	if first := engine.Rendezvous(name, all, nil, 1); len(first) > 0 {
		owner = first[0]
		m.wanted[name] = owner
	}
	return owner
}

// link returns the connection to the peer at an address.
func (m *members) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[address]
	if l == nil {
		url := m.n.cfg.PeerScheme + "://" + address
		l = &link{client: peerpbconnect.NewPeerClient(m.n.cfg.PeerHTTP, url), calls: make(map[*int]time.Time), down: make(chan struct{})}
		m.links[address] = l
	}
	return l
}

// reachable returns the peer's client and a context that ends when the peer
// stops answering; ok is false when it does not answer now.
func (m *members) reachable(ctx context.Context, address string) (peerpbconnect.PeerClient, context.Context, context.CancelFunc, bool) {
	l := m.link(address)
	m.mu.Lock()
	down, isDown := l.down, l.isDown
	m.mu.Unlock()
	if isDown {
		return nil, nil, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	call := new(int)
	m.mu.Lock()
	l.calls[call] = time.Now()
	m.mu.Unlock()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
		m.mu.Lock()
		delete(l.calls, call)
		m.mu.Unlock()
	}()
	return l.client, ctx, cancel, true
}

// heartbeat tells some peers this node's settings revision, and probes the
// peers that owe an answer. The traffic does not grow with the number of nodes.
func (m *members) heartbeat(ctx context.Context) {
	set := m.owing(time.Now())
	m.addRandom(set)
	m.heartbeatAll(ctx, set)
}

// probe asks the peers that owe an answer whether they live.
func (m *members) probe(ctx context.Context) { m.heartbeatAll(ctx, m.owing(time.Now())) }

func (m *members) heartbeatAll(ctx context.Context, addresses map[string]bool) {
	var wg sync.WaitGroup
	for address := range addresses {
		wg.Go(func() { m.heartbeatOne(ctx, address) })
	}
	wg.Wait()
}

// owing returns the addresses of peers that owe an answer or are down.
func (m *members) owing(now time.Time) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	set := make(map[string]bool)
	for address, l := range m.links {
		if l.isDown {
			set[address] = true
		}
		for _, start := range l.calls {
			if now.Sub(start) > m.n.cfg.ProbeAfter {
				set[address] = true
			}
		}
	}
	return set
}

// addRandom adds a few peers at random, and those whose session has lapsed:
// only one that does not answer either may be replaced.
func (m *members) addRandom(set map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	for i, k := range m.n.rng.Perm(len(m.list)) {
		if x := m.list[k]; (i <= gossipFanOut || x.lapsed && !x.Fenced) && x.Process != m.n.process {
			set[x.Address] = true
		}
	}
}

func (m *members) heartbeatOne(ctx context.Context, address string) {
	sent := time.Now()
	resp, l, err := m.sendHeartbeat(ctx, address, false)
	if err != nil {
		return
	}
	if resp.Msg.GetHolding() {
		m.n.consents.hear(resp.Msg.GetProcess(), sent)
	}
	if !m.n.cfg.SettingsPushed {
		m.n.catchUpWith(ctx, l.client, resp.Msg.GetRevision(), sent)
	}
}

func (m *members) sendHeartbeat(ctx context.Context, address string, hold bool) (*connect.Response[peerpb.HeartbeatResponse], *link, error) {
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	l := m.link(address)
	resp, err := l.client.Heartbeat(ctx, connect.NewRequest(&peerpb.HeartbeatRequest{
		Node: m.n.cfg.Name, Process: m.n.process, Revision: m.n.store.Tree().Rev(), Hold: hold,
	}))
	if err != nil {
		m.answered(l, false, "")
		return nil, l, err
	}
	m.answered(l, true, resp.Msg.GetProcess())
	return resp, l, nil
}

func (m *members) answered(l *link, ok bool, process string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		l.misses, l.process = 0, process
		if l.isDown {
			l.isDown, l.down = false, make(chan struct{})
		}
		return
	}
	l.misses++
	if l.misses >= downAfter && !l.isDown {
		l.isDown = true
		close(l.down)
	}
}

// catchUpWith fetches settings from a peer that has a later revision. The
// node's settings are as fresh as the peer's answer once it has caught up.
func (n *Node) catchUpWith(ctx context.Context, c peerpbconnect.PeerClient, rev int64, sent time.Time) {
	if mine := n.store.Tree().Rev(); rev > mine {
		if err := n.fetchChanges(ctx, c, mine); err != nil {
			n.log.Warn("settings could not be fetched from a peer", "err", err)
			return
		}
	}
	if n.store.Tree().Rev() >= rev {
		n.heardSettings(sent)
	}
}

func (n *Node) fetchChanges(ctx context.Context, c peerpbconnect.PeerClient, after int64) error {
	resp, err := c.Changes(ctx, connect.NewRequest(&peerpb.ChangesRequest{After: after}))
	if err != nil {
		return err
	}
	if resp.Msg.GetSnapshot() {
		docs := make([]settings.Document, len(resp.Msg.GetDocs()))
		for i, d := range resp.Msg.GetDocs() {
			docs[i] = peer.DecodeDocument(d)
		}
		n.store.InstallSnapshot(resp.Msg.GetRevision(), docs)
		return nil
	}
	changes := make([]settings.Change, len(resp.Msg.GetChanges()))
	for i, c := range resp.Msg.GetChanges() {
		changes[i] = peer.DecodeChange(c)
	}
	return n.store.Install(changes)
}

// pollMembers reads the sessions and takes or gives up engines. Whoever takes the
// first engine of a holder that died changes its session; the others are then
// taken after another reading at once.
func (n *Node) pollMembers(ctx context.Context) {
	for range takingRounds {
		rows, err := n.table.Scan(ctx, table.SessionPrefix)
		if err != nil {
			n.members.unread()
			return
		}
		n.members.update(rows, time.Now())
		n.members.reap(ctx, time.Now())
		if !n.settleOwnership(ctx) {
			return
		}
	}
}

// takingRounds bounds the readings in which engines of a dead holder are taken.
// The first changes its session, the second finds it so.
const takingRounds = 2
