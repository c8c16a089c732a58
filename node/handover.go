package node

import (
	"context"
	"sync"
)

// startHandover hands an engine over in the background, unless its ownership is ending already.
func (n *Node) startHandover(ctx context.Context, o *ownedEngine) {
	if !o.isEnding() {
		n.tasks.Go(func() { n.handOver(ctx, o) })
	}
}

// handOver stops grants, waits for commands in flight and releases the engine. Running
// streams continue; the new owner learns of them from their entry nodes. If a handover of the
// engine is in progress, handOver waits for its end, and tries once more if it has failed.
func (n *Node) handOver(ctx context.Context, o *ownedEngine) {
	if o.handoverLock.Acquire(ctx, 1) != nil {
		return
	}
	defer o.handoverLock.Release(1)
	if !o.beginHandover() {
		return
	}
	if !o.awaitCommands(ctx) {
		o.abortHandover()
		return
	}
	switch o.releaseRow(ctx) {
	case rowUnchanged:
		o.abortHandover()
	case rowWritten:
		n.endReleased(ctx, o)
	case rowLost:
		n.endOwnership(o)
	case rowUnknown:
		// The write may be applied later, and then another node takes the engine over at once.
		n.log.Warn("the release of an engine got no response; ending the ownership and releasing it again", "engine", o.name)
		n.endOwnership(o)
		n.tasks.Go(func() { n.releaseAgain(o) })
	}
}

// endReleased ends the ownership of an engine whose row names no owner any more.
func (n *Node) endReleased(ctx context.Context, o *ownedEngine) {
	n.log.Info("released the engine", "engine", o.name)
	n.endOwnership(o)
	if b, ok := n.store.Tree().Backend(o.name); ok { // otherwise nobody should own it
		n.members.tellNextOwner(ctx, b)
	}
}

// releaseAgain writes that an engine has no owner until the row is known to have changed.
func (n *Node) releaseAgain(o *ownedEngine) {
	for n.ctx.Err() == nil {
		sleep(n.ctx, recoveryRetryPause)
		switch o.releaseRow(n.ctx) {
		case rowWritten:
			n.endReleased(n.ctx, o)
			return
		case rowLost:
			return
		}
	}
}

// handOverAll hands over all engines. Those with commands in flight delay no others.
func (n *Node) handOverAll(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		defer wg.Wait()
		for _, o := range n.ownedEngines() {
			if o.hasCommandsInFlight() {
				wg.Go(func() { n.handOver(ctx, o) })
				continue
			}
			n.handOver(ctx, o)
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
