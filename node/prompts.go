package node

import (
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

func addPromptEvents(req *peerpb.HeartbeatRequest, now time.Time, e backend.PromptEvents) {
	req.ClearedPromptParts = e.Cleared
	for _, c := range e.Crashes {
		req.PromptCrashes = append(req.PromptCrashes, &peerpb.PromptCrash{
			Incarnation: c.Incarnation, RequestId: c.RequestID, Parts: c.Parts,
			AgeMs: now.Sub(c.At).Milliseconds(), InFlightMs: c.InFlight.Milliseconds(),
		})
	}
}

// recordPromptEvents takes the events of another node.
func (n *Node) recordPromptEvents(req *peerpb.HeartbeatRequest) {
	if n.cfg.Prompts == nil || len(req.GetPromptCrashes())+len(req.GetClearedPromptParts()) == 0 {
		return
	}
	now := time.Now()
	for _, parts := range n.cfg.Prompts.Record(now, decodePromptEvents(now, req)) {
		n.LogQuarantine(parts)
	}
}

func decodePromptEvents(now time.Time, req *peerpb.HeartbeatRequest) backend.PromptEvents {
	e := backend.PromptEvents{Cleared: req.GetClearedPromptParts()}
	for _, c := range req.GetPromptCrashes() {
		at := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		e.Crashes = append(e.Crashes, backend.PromptCrash{
			At: at, Incarnation: c.GetIncarnation(), RequestID: c.GetRequestId(), Parts: c.GetParts(),
			InFlight: time.Duration(c.GetInFlightMs()) * time.Millisecond,
		})
	}
	return e
}

// quarantines returns the parts that this node has in quarantine.
func (n *Node) quarantines() (list []*peerpb.Quarantine) {
	if n.cfg.Prompts == nil {
		return nil
	}
	for _, in := range n.cfg.Prompts.Quarantines(time.Now()) {
		list = append(list, &peerpb.Quarantine{Parts: in.Parts, LeftMs: in.Left.Milliseconds(), LengthMs: in.Length.Milliseconds()})
	}
	return list
}

// learnQuarantines takes the quarantines of another node.
func (n *Node) learnQuarantines(list []*peerpb.Quarantine) {
	if n.cfg.Prompts == nil || len(list) == 0 {
		return
	}
	quarantines := make([]backend.Quarantine, len(list))
	for i, in := range list {
		quarantines[i] = backend.Quarantine{
			Parts: in.GetParts(), Left: time.Duration(in.GetLeftMs()) * time.Millisecond, Length: time.Duration(in.GetLengthMs()) * time.Millisecond,
		}
	}
	n.cfg.Prompts.Learn(time.Now(), quarantines)
}

// LogQuarantine logs that parts of prompts are quarantined.
func (n *Node) LogQuarantine(parts string) {
	n.log.Warn("prompts with these parts crash engines; rejecting requests with all of them", "prompt-parts", parts)
}

// IsTrialNode reports whether this node is the one that tests a quarantine.
func (n *Node) IsTrialNode(parts string) bool { return n.IsChosen("prompt-parts/" + parts) }

// IsChosen reports whether this node is the one of all live nodes that performs a named task.
func (n *Node) IsChosen(task string) bool { return n.members.preferredOwner(task, "") == n.cfg.Name }
