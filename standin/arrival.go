package standin

import (
	"fmt"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Arrival is a command as it arrived at an engine, whether it was carried out or refused.
type Arrival struct {
	Sender       string // name of the node that sent it; empty if the protocol does not tell
	FencingToken int64
	At           time.Time
	Reply        engine.Reply // empty if it got none, or was turned away before it was looked at
	Incarnation  int64        // of the engine
}

// isRefused reports whether the command had no effect.
func (a Arrival) isRefused() bool { return a.Reply != engine.Accepted && a.Reply != engine.AlreadyDone }

// String describes the sender, the token and the time of arrival.
func (a Arrival) String() string {
	s := fmt.Sprintf("a command under token %d at %s", a.FencingToken, a.At.UTC().Format("15:04:05.000"))
	if a.Sender != "" {
		s += " from " + a.Sender
	}
	if a.isRefused() {
		s += fmt.Sprintf(" (refused, reply %q)", a.Reply)
	}
	return s
}

// OwnerViolations describes the commands by which more than one node acted as the owner of
// an engine, among all that arrived at it: one token of two senders, a lower token after a
// higher one, and senders that take turns within gap. At an engine that checks tokens, a lower
// token is a violation only if the command was carried out. Tokens are compared within an
// incarnation of the engine.
func OwnerViolations(engineName string, arrivals []Arrival, checksTokens bool, gap time.Duration) (violations []string) {
	report := func(what string, a, before Arrival) {
		violations = append(violations, fmt.Sprintf("%s: %s: %v after %v", engineName, what, a, before))
	}
	var highest Arrival
	var firstOf map[int64]Arrival // by token
	for i, a := range arrivals {
		if i == 0 || a.Incarnation != arrivals[i-1].Incarnation {
			highest, firstOf = Arrival{}, map[int64]Arrival{}
		}
		if first, ok := firstOf[a.FencingToken]; !ok {
			firstOf[a.FencingToken] = a
		} else if first.Sender != a.Sender {
			report("one token of two senders", a, first)
		}
		if a.FencingToken < highest.FencingToken && !(checksTokens && a.isRefused()) {
			report("a lower token", a, highest)
		}
		if a.FencingToken > highest.FencingToken && !(checksTokens && a.Reply == "") {
			highest = a
		}
	}
	for _, t := range ownerTurns(arrivals, gap) {
		report("senders take turns", t.back, t.replacedBy)
	}
	return violations
}

// ownerTurn is the return of a sender that another one had replaced.
type ownerTurn struct{ back, replacedBy Arrival }

// ownerTurns returns the commands of senders that came back less than gap after they were
// replaced.
func ownerTurns(arrivals []Arrival, gap time.Duration) (turns []ownerTurn) {
	replacedBy := make(map[string]Arrival)
	for i, a := range arrivals[min(1, len(arrivals)):] {
		prev := arrivals[i]
		if prev.Sender == a.Sender {
			continue
		}
		if by, ok := replacedBy[a.Sender]; ok && a.At.Sub(by.At) < gap {
			turns = append(turns, ownerTurn{a, by})
		}
		replacedBy[prev.Sender] = a
	}
	return turns
}
