package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

const tableAddress = "10.9.0.1:1"

// sender is a node that may send commands to an engine, with its ownership and fencing token.
type sender struct {
	node      string
	token     int64
	ownership *ownedEngine
}

// leaseCluster is a set of nodes with the timings of the users' platform, and engines
// without a listener: only the ownership is of interest.
type leaseCluster struct {
	net   *standin.Network
	table *standin.Table
	store *standin.Store // used instead of the table if it is set
	nodes []*Node
	docs  []settings.Document
	lossy map[int]*lossyTable // by node, on the store

	clocks map[int]*standin.VMClock // by node
	names  map[int]string           // of nodes that are not named by their number

	// sequencer, if set, returns what sends the commands to an engine.
	sequencer func(b settings.BackendServer) *engine.Sequencer
	// configure, if set, changes the configuration of a node before it starts.
	configure func(cfg *Config)

	senders map[string]sender // by engine: the last one that might send commands
}

func newLeaseCluster(nodes, engines int) *leaseCluster {
	return startLeaseCluster(&leaseCluster{table: &standin.Table{}}, nodes, engines)
}

// newStoreCluster returns a cluster on the stand-in of the platform's store.
func newStoreCluster(nodes, engines int) *leaseCluster {
	return startLeaseCluster(&leaseCluster{table: &standin.Table{}, store: &standin.Store{}}, nodes, engines)
}

// startPlainCluster starts nodes without engines.
func startPlainCluster(c *leaseCluster, nodes int) *leaseCluster {
	c.table = &standin.Table{}
	return startLeaseCluster(c, nodes, 0)
}

func startLeaseCluster(c *leaseCluster, nodes, engines int) *leaseCluster {
	c.net, c.lossy, c.clocks = standin.NewNetwork(), make(map[int]*lossyTable), make(map[int]*standin.VMClock)
	c.net.Listen(platformProcess, tableAddress, c.table)
	if c.store != nil {
		c.net.Listen(platformProcess, tableAddress, c.store)
	}
	for i := range engines {
		c.docs = append(c.docs, settings.Document{Kind: settings.Backend, Name: fmt.Sprintf("e%d", i), Fields: map[string]string{
			"address": fmt.Sprintf("10.1.0.%d:1", i+1), "base-model": "m", "slots": "2", "places": "2", "unload-waits": "on",
		}})
	}
	for range nodes {
		c.join()
	}
	return c
}

// join starts one more node.
func (c *leaseCluster) join() *Node {
	c.nodes = append(c.nodes, nil)
	return c.start(len(c.nodes) - 1)
}

// start starts a node of the cluster, or a new process of it after a kill.
func (c *leaseCluster) start(i int) *Node {
	name := cmp.Or(c.names[i], fmt.Sprintf("n%d", i))
	c.clocks[i] = &standin.VMClock{}
	cfg := Config{
		Name: name, Address: fmt.Sprintf("10.0.0.%d:1", i+1), TableURL: tableURL, HTTP: c.net.Client(name), SettingsPushed: true,
		OwnerAlternationGap: 3 * time.Second, LeaseTTL: 2500 * time.Millisecond, LeaseMargin: 300 * time.Millisecond,
		Clock:      c.clocks[i].Clock(),
		RenewEvery: time.Second, TableRenewEvery: 5 * time.Second, PollEvery: 2 * time.Second, ProbeAfter: 100 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Seed: uint64(i),
	}
	cfg.Sequencer = c.sequencer
	if c.configure != nil {
		c.configure(&cfg)
	}
	store := &platform.StoreClient{Address: tableAddress, HTTP: cfg.HTTP}
	if c.store != nil {
		c.lossy[i] = newLossyTable(store)
		cfg.Table = &table.Client{Read: c.lossy[i].Read, Apply: c.lossy[i].Apply}
	}
	n := New(cfg)
	if c.store != nil {
		store.OnGeneration = n.ObserveGeneration
	}
	n.store.InstallSnapshot(1, c.docs)
	c.net.Listen(name, n.cfg.Address, n.Peers())
	c.nodes[i] = n
	n.Start()
	if cfg.Quota != nil {
		n.ExpectQuotas()
	}
	return n
}

func (c *leaseCluster) kill(n *Node) {
	c.net.Kill(n.Name())
	n.Kill()
}

func (c *leaseCluster) close() {
	for _, n := range c.nodes {
		c.kill(n)
	}
}

// cutFromStore blocks or unblocks both directions between a node and the store.
func (c *leaseCluster) cutFromStore(n *Node, cut bool) {
	c.net.SetBlocked(n.Name(), platformProcess, cut)
	c.net.SetBlocked(platformProcess, n.Name(), cut)
}

// owners returns, by engine, the names of the nodes that own it and hold a valid lease. A node
// that hands an engine over sends it no commands any more, so it does not count.
func (c *leaseCluster) owners() map[string][]string {
	byEngine := make(map[string][]string)
	for i, n := range c.nodes {
		if !n.session.leaseValid() || c.clocks[i].Suspended() {
			continue
		}
		for name := range n.claimableEngines() {
			byEngine[name] = append(byEngine[name], n.Name())
		}
	}
	return byEngine
}

// setFault replaces the injected failures of the store.
func (c *leaseCluster) setFault(f standin.TableFault) {
	if c.store != nil {
		c.store.SetFault(f)
		return
	}
	c.table.SetFault(f)
}

// possibleSenders returns the present and former ownerships of a node that may send commands or
// have some on their way.
func (n *Node) possibleSenders() (list []*ownedEngine) {
	n.mu.Lock()
	ownerships := slices.Collect(maps.Values(n.owned))
	for _, former := range n.formerlyOwned {
		ownerships = append(ownerships, former...)
	}
	n.mu.Unlock()
	for _, o := range ownerships {
		if o.canSendCommand() || o.hasCommandsInFlight() {
			list = append(list, o)
		}
	}
	return list
}

// checkSenders returns a violation if a node may send commands to an engine, or has some on
// their way, under a fencing token that another ownership, also of the same node, had before,
// or under a lower one.
func (c *leaseCluster) checkSenders() (violation string) {
	if c.senders == nil {
		c.senders = make(map[string]sender)
	}
	for i, n := range c.nodes {
		if c.clocks[i].Suspended() {
			continue
		}
		for _, o := range n.possibleSenders() {
			s, last := sender{n.Name(), o.token, o}, c.senders[o.name]
			if s.token < last.token || s.token == last.token && s.ownership != last.ownership {
				violation = fmt.Sprintf("%s may send commands to %s with token %d after %s had token %d", s.node, o.name, s.token, last.node, last.token)
				continue
			}
			c.senders[o.name] = s
		}
	}
	return violation
}

// watch waits for d and returns a violation if two nodes own an engine at any time, or
// may send commands under tokens that do not grow.
func (c *leaseCluster) watch(d time.Duration) (violation string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v := c.checkSenders(); v != "" {
			violation = v
		}
		for name, names := range c.owners() {
			// A handover takes no virtual time and may come between the reads of two nodes.
			if len(names) > 1 && len(c.owners()[name]) > 1 {
				violation = fmt.Sprintf("%v own %s", names, name)
			}
		}
	}
	return violation
}

// Guards against two owners of one engine. A node that joined after an owner's last
// read of the members is unknown to that owner, which is then cut from the store and
// extends its lease without the store. The new node must not take over its engines.
func TestJoinedNodeHonoursExtendedLease(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 250 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaseCluster(4, 24)
				defer c.close()
				time.Sleep(10*time.Second + offset)
				joined := c.join()
				time.Sleep(50 * time.Millisecond)
				is.Equal(len(c.table.Rows(table.Session{Node: joined.Name()}.Key())), 1)
				c.cutFromStore(c.nodes[0], true)
				c.cutFromStore(c.nodes[1], true)
				is.Equal(c.watch(14*time.Second), "")
				c.cutFromStore(c.nodes[0], false)
				c.cutFromStore(c.nodes[1], false)
				is.Equal(c.watch(10*time.Second), "")
			})
		})
	}
}

// Guards against engines without an owner for ten seconds after their owner ended together
// with its only two witnesses, chosen when it knew no other node yet.
func TestWitnessesAreAddedWhenNodesJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(3, 8)
		defer c.close()
		time.Sleep(1500 * time.Millisecond) // the first three have renewed their sessions since they saw each other
		for range 4 {
			c.join()
		}
		time.Sleep(3 * time.Second)
		for _, n := range c.nodes[:3] {
			rows := c.table.Rows(table.WitnessKey(n.Name()))
			is.Equal(len(rows), 1)
			w, err := table.DecodeWitnesses(rows[0])
			is.NoErr(err)
			is.Equal(len(w.List), 5)
		}
	})
}
