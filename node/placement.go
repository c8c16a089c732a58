package node

import (
	"context"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
)

// candidate is a node that may own engines.
type candidate struct {
	name       string
	dataCenter string
}

// preferredOwner returns the node that should own an engine or perform another named
// task: the first choice of rendezvous hashing over the live nodes that are not
// leaving. Nodes in the given data centre take precedence.
func (m *members) preferredOwner(name, dataCenter string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, ok := m.preferredOwners[name]; ok {
		return owner
	}
	owner := chooseOwner(m.candidates, name, dataCenter, "")
	if owner != "" {
		m.preferredOwners[name] = owner
	}
	return owner
}

// chooseOwner returns the first choice of rendezvous hashing over the candidates other than
// the excluded one, or "" if there is none.
func chooseOwner(candidates []candidate, name, dataCenter, excluded string) string {
	var sameDataCenter, all []string
	for _, c := range candidates {
		if c.name == excluded {
			continue
		}
		all = append(all, c.name)
		if c.dataCenter == dataCenter {
			sameDataCenter = append(sameDataCenter, c.name)
		}
	}
	if len(sameDataCenter) > 0 {
		all = sameDataCenter
	}
	if first := engine.Rendezvous(name, all, nil, 1); len(first) > 0 {
		return first[0]
	}
	return ""
}

// candidateNames returns the names of the live nodes that are not leaving.
func (m *members) candidateNames() (names []string) {
	for _, c := range m.candidateList() {
		names = append(names, c.name)
	}
	return names
}

// candidateList returns the live nodes that are not leaving. The caller must not modify it.
func (m *members) candidateList() []candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates
}

// nextOwner returns the member that should own an engine after this node released it.
func (m *members) nextOwner(name, dataCenter string) (member, bool) {
	m.mu.Lock()
	owner := chooseOwner(m.candidates, name, dataCenter, m.n.cfg.Name)
	m.mu.Unlock()
	return m.get(owner)
}

// tellNextOwner tells the next owner of an engine that it has no owner any more. If the
// message is lost, the next owner finds out by itself.
func (m *members) tellNextOwner(ctx context.Context, b *settings.BackendServer) {
	next, ok := m.nextOwner(b.Name, b.DataCenter)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	req := m.n.newHeartbeat()
	req.Released = b.Name
	if _, err := m.link(next.Address).client.Heartbeat(ctx, connect.NewRequest(req)); err != nil {
		m.n.log.Info("cannot tell the next owner that an engine has no owner any more; it will find out", "engine", b.Name, "node", next.Node, "err", err)
	}
}
