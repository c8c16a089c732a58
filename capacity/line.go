package capacity

import (
	"fmt"
	"io"
	"math"
)

// Line is what one role costs a node, or the platform.
type Line struct {
	Role      string
	Mechanism string
	State     float64 // bytes
	Wire      float64 // bytes a second
	Core      float64 // of a core
	Writes    float64 // transactions a second at the table, all nodes together
	Reads     float64 // reads a second at the table, all nodes together
	Control   bool    // counts against the node's budget for control
}

const perNs = 1e-9

// Lines works out the lines for a size.
func Lines(s Slopes, z Size) []Line {
	nodes, engines := float64(z.Nodes), float64(z.Engines)
	enginesHere := engines / nodes
	enginesInDC := engines / float64(z.DataCenters)
	requests := z.Requests / nodes
	changes := z.Changes / secondsADay
	poll := 1 / z.PollSeconds
	running := requests * z.RequestSeconds
	adapters := float64(z.Adapters)
	loads := adapters * z.WakingShare / secondsAnHour * z.ReplicasWaking
	joins := 2 * (z.Failures + z.Restarts) / secondsADay // a node that goes and comes back changes the members twice
	moves := joins / 2 * enginesHere
	return []Line{
		{
			Role: "settings tree", Mechanism: "immutable tree on every node; a change copies the maps it touches",
			State:   adapters*s.AdapterBytes + float64(z.Branches)*s.BranchBytes + float64(z.Callers)*s.CallerBytes + engines*s.BackendBytes,
			Core:    changes * (s.ChangeNs + s.ChangeAdapterNs*adapters) * perNs,
			Control: true,
		},
		{
			Role: "settings spread", Mechanism: "heartbeats carry the revision, bodies come from the peer; each node polls the head",
			Wire:    changes*s.ChangeWireBytes + poll*s.HeadBytes,
			Core:    poll * s.HeadNs * perNs,
			Writes:  changes,
			Reads:   poll * nodes,
			Control: true,
		},
		{
			Role: "heartbeats", Mechanism: "a fixed number of random peers in each round, and those that owe an answer",
			Wire:    2 * poll * z.PeersInARound * s.HeartbeatBytes,
			Core:    poll * z.PeersInARound * s.HeartbeatNs * perNs,
			Control: true,
		},
		{
			Role: "session", Mechanism: "one row a node, renewed by conditional write",
			Wire:    s.RenewBytes / z.RenewSeconds,
			Core:    s.RenewNs / z.RenewSeconds * perNs,
			Writes:  nodes / z.RenewSeconds,
			Control: true,
		},
		{
			Role: "membership", Mechanism: "each node reads all session rows in each round",
			State:   nodes * s.ScanRowBytes,
			Wire:    poll * nodes * s.ScanRowBytes,
			Core:    poll * (s.ScanFixedNs + s.ScanRowNs*nodes) * perNs,
			Reads:   poll * nodes,
			Control: true,
		},
		{
			Role: "ownership", Mechanism: "rendezvous hashing over the live nodes of the data centre, remembered until the members change; rows are read and written only where the owner changes",
			State:   enginesHere * s.OwnerRowBytes,
			Wire:    2 * moves * s.OwnerRowBytes,
			Core:    (joins*enginesInDC*nodes/float64(z.DataCenters)*s.RendezvousNodeNs + poll*engines*s.LookupNs) * perNs,
			Writes:  2 * moves,
			Reads:   2 * moves,
			Control: true,
		},
		{
			Role: "loads", Mechanism: "an intent row for each stable change; the budget at the node that hashing picks",
			State:   enginesHere * s.OwnerRowBytes,
			Wire:    loads / nodes * (s.OwnerRowBytes + s.HeartbeatBytes),
			Core:    loads * s.BudgetNs * perNs,
			Writes:  loads,
			Control: true,
		},
		{
			Role: "engine reports", Mechanism: "the owner polls its engines; a tick ten times a second",
			Core:    enginesHere * (10*s.TickEngineNs + s.HeadNs/z.ReportSeconds) * perNs,
			Wire:    enginesHere * s.HeadBytes / z.ReportSeconds,
			Control: true,
		},
		{
			Role: "entry work", Mechanism: "settings resolved, engines of the data centre ranked, a grant asked for",
			State: running * s.GrantBytes,
			Wire:  requests * s.AdmitBytes,
			Core:  requests * (s.ResolveNs + s.RouteFixedNs + s.RouteEngineNs*enginesInDC + s.AdmitNs) * perNs,
		},
		{
			Role: "owner work", Mechanism: "queue, slots and pins of each engine",
			State: running * s.SchedulerBytes,
			Core:  requests * s.SchedulerNs * perNs,
		},
		{
			Role: "at-most-once ledger", Mechanism: "a row before and after each call, many calls in a transaction",
			Wire:   0,
			Core:   z.ServiceCalls / nodes * s.LedgerNs * perNs,
			Writes: z.ServiceCalls * s.LedgerTx,
			Reads:  z.ServiceCalls * s.LedgerReads,
		},
	}
}

// Totals sums the lines that count against the budgets.
func Totals(s Slopes, lines []Line) (control, all Line) {
	control.Role, all.Role = "control, a node", "all, the platform"
	control.State = s.BaseBytes
	for _, l := range lines {
		all.Writes += l.Writes
		all.Reads += l.Reads
		if l.Control {
			control.State += l.State
			control.Wire += l.Wire
			control.Core += l.Core
		}
	}
	return control, all
}

// Markdown writes the lines as a table, with the budgets at the end.
func Markdown(w io.Writer, s Slopes, z Size) {
	lines := Lines(s, z)
	fmt.Fprintf(w, "| role | state | wire | processor | table writes | table reads | mechanism |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		fmt.Fprintf(w, "| %s | %s | %s/s | %.3f%% | %s/s | %s/s | %s |\n",
			l.Role, bytes(l.State), bytes(l.Wire), 100*l.Core, number(l.Writes), number(l.Reads), l.Mechanism)
	}
	control, all := Totals(s, lines)
	fmt.Fprintf(w, "\n| budget | needed | allowed | |\n|---|---|---|---|\n")
	row := func(name, need, allowed string, ok bool) {
		verdict := "holds"
		if !ok {
			verdict = "**breaks**"
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", name, need, allowed, verdict)
	}
	row("memory for control, a node", bytes(control.State), bytes(budgetMemory), control.State <= budgetMemory)
	row("wire for control, a node", bytes(control.Wire)+"/s", bytes(budgetWire)+"/s", control.Wire <= budgetWire)
	row("processor for control, a node", fmt.Sprintf("%.3f%%", 100*control.Core), fmt.Sprintf("%.1f%%", 100*budgetCore), control.Core <= budgetCore)
	row("table writes, all nodes", number(all.Writes)+"/s", number(budgetWrites)+"/s", all.Writes <= budgetWrites)
	row("table reads, all nodes", number(all.Reads)+"/s", number(budgetReads)+"/s", all.Reads <= budgetReads)
}

func bytes(b float64) string {
	switch {
	case b >= 1<<20:
		return fmt.Sprintf("%.1f MB", b/(1<<20))
	case b >= 1<<10:
		return fmt.Sprintf("%.1f KB", b/(1<<10))
	}
	return fmt.Sprintf("%.0f B", b)
}

func number(v float64) string {
	if v != 0 && math.Abs(v) < 10 {
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.0f", v)
}
