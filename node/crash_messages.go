package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/backend"
)

const (
	// crashShareInterval is the time between two messages to other nodes about prompts and
	// requests that may crash servers.
	crashShareInterval = 100 * time.Millisecond
	// crashMessageAttempts is how often such a message is sent to a node that does not respond.
	crashMessageAttempts = 3
)

// shareCrashes tells other nodes what this node has seen of prompts and requests that may crash
// servers. A node that misses it learns of quarantines by heartbeats.
func (n *Node) shareCrashes(ctx context.Context) {
	var prompts backend.PromptEvents
	if n.cfg.Prompts != nil {
		prompts = n.cfg.Prompts.TakeEvents()
	}
	var toKeepers, toAll backend.RequestEvents
	if n.cfg.Requests != nil {
		toKeepers, toAll = n.cfg.Requests.TakeEvents()
	}
	if prompts.IsEmpty() && toKeepers.IsEmpty() && toAll.IsEmpty() {
		return
	}
	nodes := n.members.all()
	requests := newRequestMessages(toKeepers, toAll, n.members.candidateNames())
	for _, mem := range nodes {
		list := requests.to(mem.Node)
		if mem.live() && mem.Process != n.process && (len(list) > 0 || !prompts.IsEmpty()) {
			n.tasks.Go(func() { n.members.sendCrashes(ctx, mem.Address, prompts, list) })
		}
	}
}

// sendCrashes sends a message, again if there is no response.
func (m *members) sendCrashes(ctx context.Context, address string, prompts backend.PromptEvents, requests []backend.RequestEvents) {
	for range crashMessageAttempts {
		err := m.sendCrashesOnce(ctx, address, prompts, requests)
		if err == nil || ctx.Err() != nil || m.isDown(address) {
			return
		}
		m.n.log.Debug("cannot tell a node of what may crash servers", "address", address, "err", err)
		sleep(ctx, crashShareInterval)
	}
}

func (m *members) sendCrashesOnce(ctx context.Context, address string, prompts backend.PromptEvents, requests []backend.RequestEvents) error {
	ctx, cancel := context.WithTimeout(ctx, m.n.cfg.ProbeTimeout)
	defer cancel()
	req, now := m.n.newHeartbeat(), time.Now()
	addPromptEvents(req, now, prompts)
	req.RequestEvents = encodeRequestEvents(now, requests)
	_, err := m.link(address).client.Heartbeat(ctx, connect.NewRequest(req))
	return err
}
