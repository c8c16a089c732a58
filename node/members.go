package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/membership"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/peer/peerpb/peerpbconnect"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// joinAttempts allows for one write that finds the row of an earlier process, one
	// that replaces it, and one more. joinPause is several response times of the table.
	joinAttempts    = 3
	joinPause       = 20 * time.Millisecond
	gossipFanout    = 2 // random peers per round, for spreading settings
	downAfterMisses = 2 // consecutive unanswered heartbeats
)

// member is a node, possibly this one, as described by its session row.
type member struct {
	table.Session
	version int64
	readIn  int64 // generation of the table in which the version was read
	expired bool
	// fenceRefused is set after its witnesses did not promise to support it no more.
	fenceRefused bool
}

// live reports whether the member may own engines.
func (m member) live() bool { return !m.expired && !m.Fenced }

// members is the node's view of the other nodes. Membership comes from the session
// rows. Heartbeats detect peers that do not respond before their sessions expire, and
// carry settings revisions.
type members struct {
	n *Node

	known     chan struct{} // closed after the first read of the rows
	knownOnce sync.Once

	mu         sync.Mutex
	monitor    table.SessionMonitor
	readFailed bool // the last read of the rows failed
	// pollSkipped is set if the last poll was left out.
	pollSkipped bool
	list        []member
	links       map[string]*link // by address
	// endedSessions counts the witnesses whose sessions have ended.
	endedSessions membership.EndedSessions
	// candidates are the nodes that may own engines. preferredOwners caches the results
	// of preferredOwner until the candidates change.
	candidates      []candidate
	preferredOwners map[string]string
}

// link is the connection to one peer address.
type link struct {
	client  peerpbconnect.PeerClient
	calls   map[*int]time.Time // start times of the calls in flight
	misses  int                // consecutive unanswered heartbeats
	process string             // process of the last response
	// down is closed when the peer stops responding, and replaced when it responds
	// again.
	down   chan struct{}
	isDown bool
}

func newMembers(n *Node) *members {
	return &members{
		n:       n,
		monitor: table.SessionMonitor{TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin},
		links:   make(map[string]*link),
		known:   make(chan struct{}),

		endedSessions: membership.EndedSessions{LeaseTime: n.leaseTime(), Retention: maxExtension + n.leaseTime()},
	}
}

// recordReadFailure records that the session rows could not be read. The next update
// then restarts the expiry timers of all sessions.
func (m *members) recordReadFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readFailed = true
}

// update replaces the members by the given session rows.
func (m *members) update(rows []table.Row, now time.Time) {
	defer m.knownOnce.Do(func() { close(m.known) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStale(rows) {
		return
	}
	m.list = m.list[:0:0]
	if m.readFailed {
		m.monitor.RestartTimers(now)
		m.readFailed = false
	}
	for _, row := range rows {
		s, err := table.DecodeSession(row)
		if err != nil {
			m.n.log.Error("cannot decode a session row; skipping it", "err", err)
			continue
		}
		m.monitor.Observe(row.Key, row.Version, now)
		m.list = append(m.list, member{Session: s, version: row.Version, readIn: row.Generation, expired: m.expired(row.Key, s.Address, now)})
	}
	inForce := make(map[string]bool, len(m.list))
	for _, mem := range m.list {
		inForce[mem.ID()] = !mem.Fenced
	}
	m.endedSessions.Read(inForce, now)
	m.confirmGenerations()
	m.n.promises.Expire(now)
	var candidates []candidate
	for _, mem := range m.list {
		if mem.live() && !mem.Leaving {
			candidates = append(candidates, candidate{mem.Node, mem.DataCenter})
		}
	}
	if !slices.Equal(candidates, m.candidates) {
		m.candidates, m.preferredOwners = candidates, make(map[string]string)
	}
}

// expired reports whether a session has expired: its row is unchanged for longer than a
// lease, although it was due to be renewed or its node does not respond. The caller holds
// m.mu.
func (m *members) expired(key, address string, now time.Time) bool {
	if !m.monitor.Expired(key, now) {
		return false
	}
	return m.linkIsDown(address) || m.monitor.UnchangedFor(key, now) > m.n.leaseTime()+m.n.cfg.TableRenewEvery-m.n.cfg.RenewEvery
}

func (m *members) isDown(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.linkIsDown(address)
}

// linkIsDown reports whether the peer at an address did not answer the last heartbeats. The caller holds m.mu.
func (m *members) linkIsDown(address string) bool {
	l := m.links[address]
	return l != nil && l.isDown
}

// answering returns those of some nodes that are known and answer calls.
func (m *members) answering(names []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool {
		i := slices.IndexFunc(m.list, func(mem member) bool { return mem.Node == name })
		return i < 0 || m.linkIsDown(m.list[i].Address)
	})
}

// candidatePeers returns the other nodes, for searches of streams.
func (m *members) candidatePeers() (list []candidatePeer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range m.list {
		if mem.Process != m.n.process {
			list = append(list, candidatePeer{mem.Process, mem.Address, mem.live(), m.linkIsDown(mem.Address)})
		}
	}
	return list
}

// all returns the members of the last update, sorted by name.
func (m *members) all() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// sessionEnded reports whether the session of a process is known to have ended. Its row may also be
// missing since it was not read yet.
func (m *members) sessionEnded(process string) bool {
	return slices.ContainsFunc(m.all(), func(other member) bool { return other.Process == process && other.Fenced })
}

// witnessCandidates returns the other nodes that can be witnesses of this one. In a table that
// may be restored, only established sessions can: others may be missing in the copy, and then
// nobody asks whether they know of the restore before taking over engines.
func (m *members) witnessCandidates() (list []table.Witness) {
	generation := m.n.generations.Current()
	for _, mem := range m.all() {
		if mem.live() && !mem.Leaving && mem.Process != m.n.process && mem.Generation == generation && (mem.Established || generation == 0) {
			list = append(list, table.Witness{Session: mem.ID(), Address: mem.Address})
		}
	}
	return list
}

// countLive returns the number of members that may own engines.
func (m *members) countLive() (live int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range m.list {
		if mem.live() {
			live++
		}
	}
	return live
}

// liveNames returns the names of the members that may own engines.
func (m *members) liveNames() (names []string) {
	for _, mem := range m.all() {
		if mem.live() {
			names = append(names, mem.Node)
		}
	}
	return names
}

// get returns the member with the given node name.
func (m *members) get(name string) (member, bool) {
	for _, mem := range m.all() {
		if mem.Node == name {
			return mem, true
		}
	}
	return member{}, false
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

// beginCall returns the peer's client and a context that is cancelled when the peer
// stops responding; ok is false if the peer is down.
func (m *members) beginCall(ctx context.Context, address string) (peerpbconnect.PeerClient, context.Context, context.CancelFunc, bool) {
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

// heartbeat sends this node's settings revision to some random peers, and probes the
// peers with overdue responses. The number of messages does not grow with the number of
// nodes.
func (m *members) heartbeat(ctx context.Context) {
	set := m.overduePeers(time.Now())
	m.addGossipTargets(set)
	if !m.n.generations.Settled(time.Now()) {
		for _, address := range m.n.generations.Unconfirmed() {
			set[address] = true
		}
	}
	m.heartbeatAll(ctx, set)
}

// probe sends heartbeats to the peers with overdue responses.
func (m *members) probe(ctx context.Context) { m.heartbeatAll(ctx, m.overduePeers(time.Now())) }

func (m *members) heartbeatAll(ctx context.Context, addresses map[string]bool) {
	var wg sync.WaitGroup
	for address := range addresses {
		wg.Go(func() { m.heartbeatPeer(ctx, address) })
	}
	wg.Wait()
}

// overduePeers returns the addresses of peers that are down or have not responded to a call
// for longer than ProbeAfter.
func (m *members) overduePeers(now time.Time) map[string]bool {
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

// addGossipTargets adds some random peers, and those whose session has expired: a node
// may be replaced only if it does not respond to heartbeats either.
func (m *members) addGossipTargets(set map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	for i, k := range m.n.rng.Perm(len(m.list)) {
		if mem := m.list[k]; (i <= gossipFanout || mem.expired && !mem.Fenced) && mem.Process != m.n.process {
			set[mem.Address] = true
		}
	}
}

func (m *members) heartbeatPeer(ctx context.Context, address string) {
	sent, asked := time.Now(), m.n.bootNow()
	resp, l, err := m.sendHeartbeat(ctx, address, 0)
	if err != nil {
		return
	}
	if resp.Msg.GetHolding() {
		m.n.promises.RecordContact(resp.Msg.GetProcess(), sent)
	}
	if !m.n.cfg.SettingsPushed {
		m.n.syncSettingsFrom(ctx, l.client, resp.Msg.GetRevision(), asked)
	}
}

// responds reports whether a peer answers one of as many heartbeats as it takes to count as down.
func (m *members) responds(ctx context.Context, address string) bool {
	for range downAfterMisses {
		if _, _, err := m.sendHeartbeat(ctx, address, 0); err == nil {
			return true
		}
	}
	return false
}

// newHeartbeat returns a heartbeat with what every one of this node's states.
func (n *Node) newHeartbeat() *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		Node: n.cfg.Name, Process: n.process, Revision: n.store.Tree().Rev(), Generation: n.generations.Current(),
	}
}

// sendHeartbeat sends a heartbeat. With a session version it asks the peer, as a
// witness, for consent to extend the lease of that session.
func (m *members) sendHeartbeat(ctx context.Context, address string, sessionVersion int64) (*connect.Response[peerpb.HeartbeatResponse], *link, error) {
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	l := m.link(address)
	req := m.n.newHeartbeat()
	req.Hold, req.SessionVersion = sessionVersion > 0, sessionVersion
	resp, err := l.client.Heartbeat(ctx, connect.NewRequest(req))
	if err != nil {
		m.recordHeartbeat(l, false, "")
		return nil, l, err
	}
	m.n.ObserveGeneration(resp.Msg.GetGeneration())
	m.n.learnQuarantines(resp.Msg.GetQuarantines())
	m.n.learnHeldRequests(resp.Msg.GetHeldRequests())
	m.n.generations.Observe(resp.Msg.GetNode(), address, resp.Msg.GetGeneration(), time.Now())
	m.recordHeartbeat(l, true, resp.Msg.GetProcess())
	return resp, l, nil
}

func (m *members) recordHeartbeat(l *link, ok bool, process string) {
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
	if l.misses >= downAfterMisses && !l.isDown {
		l.isDown = true
		close(l.down)
	}
}

// syncSettingsFrom fetches settings from a peer with a later revision. Once the node
// has that revision, its settings are as recent as the peer's response.
func (n *Node) syncSettingsFrom(ctx context.Context, c peerpbconnect.PeerClient, rev int64, asked time.Time) {
	if local := n.store.Tree().Rev(); rev > local {
		if err := n.fetchChanges(ctx, c, local); err != nil {
			n.log.Warn("cannot fetch settings from a peer; retrying with the next heartbeat", "err", err)
			return
		}
	}
	if n.store.Tree().Rev() >= rev {
		n.recordSettingsContact(asked)
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
