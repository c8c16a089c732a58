package node

import (
	"context"
	"time"
)

// hasCommandsInFlight reports whether commands may still arrive at the engine.
func (o *ownedEngine) hasCommandsInFlight() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mayCommandsArrive(time.Now())
}

// mayCommandsArrive reports whether commands may still arrive at the engine. One that got a response
// has arrived; another one may be on its way after the end of its call. The caller must hold o.mu.
func (o *ownedEngine) mayCommandsArrive(now time.Time) bool {
	return o.commandsInFlight > 0 || now.Before(o.arrivalsUntil)
}

// recordUnanswered records that the call of a command has ended without a response.
func (o *ownedEngine) recordUnanswered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivalsUntil = time.Now().Add(o.n.cfg.CommandArrivalBound)
	o.times.unanswered(o.arrivalsUntil)
}

// awaitCommands waits until no command may arrive at the engine any more. No command can
// start during a handover.
func (o *ownedEngine) awaitCommands(ctx context.Context) bool {
	for {
		if !o.hasCommandsInFlight() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(handoverPollInterval):
		}
	}
}

// isOver reports whether no command of an ended ownership can reach the engine any more, nor be
// executed. A sequenced engine does not execute one after a later one.
func (o *ownedEngine) isOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped && !o.mayCommandsArrive(time.Now()) && (o.commandsUnanswered == 0 || o.seq != nil)
}

// handoverDelay returns for how long after a release the next owner sends no commands.
func (o *ownedEngine) handoverDelay() time.Duration {
	return o.times.handoverDelay(o.n.cfg.OwnerAlternationGap, o.n.cfg.CommandArrivalBound)
}
