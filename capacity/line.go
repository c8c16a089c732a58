package capacity

import (
	"fmt"
	"io"
	"math"
)

// RoleCost is what one role costs a node, or the platform.
type RoleCost struct {
	Role                 string
	Mechanism            string
	StateBytes           float64 // bytes
	WireBytesPerSecond   float64 // bytes a second
	Cores                float64 // of a core
	TableWritesPerSecond float64 // transactions a second at the table, all nodes together
	TableReadsPerSecond  float64 // reads a second at the table, all nodes together
	Control              bool    // counts against the node's budget for control
}

const perNs = 1e-9

// RoleCosts works out the lines for a size.
func RoleCosts(s Slopes, z Size) []RoleCost {
	nodes, engines := float64(z.Nodes), float64(z.Engines)
	enginesHere := engines / nodes
	enginesInDC := engines / float64(z.DataCenters)
	requests := z.RequestsPerSecond / nodes
	changes := z.ChangesPerDay / secondsADay
	poll := 1 / z.PollSeconds
	running := requests * z.RequestSeconds
	adapters := float64(z.Adapters)
	loads := adapters * z.ActivationShare / secondsAnHour * z.LoadsPerActivation
	joins := 2 * (z.VMFailuresPerDay + z.NodeRestartsPerDay) / secondsADay // a node that goes and comes back changes the members twice
	moves := joins / 2 * enginesHere
	return []RoleCost{
		{
			Role: "settings tree", Mechanism: "immutable tree on every node; a change copies the maps it touches",
			StateBytes: adapters*s.AdapterBytes + float64(z.Branches)*s.BranchBytes + float64(z.Callers)*s.CallerBytes + engines*s.BackendBytes,
			Cores:      changes * (s.ChangeNs + s.ChangeAdapterNs*adapters) * perNs,
			Control:    true,
		},
		{
			Role: "settings spread", Mechanism: "heartbeats carry the revision, bodies come from the peer; each node polls the head",
			WireBytesPerSecond:   changes*s.ChangeWireBytes + poll*s.HeadReadBytes,
			Cores:                poll * s.HeadReadNs * perNs,
			TableWritesPerSecond: changes,
			TableReadsPerSecond:  poll * nodes,
			Control:              true,
		},
		{
			Role: "heartbeats", Mechanism: "a fixed number of random peers in each round, and those that owe an answer",
			WireBytesPerSecond: 2 * poll * z.PeersPerRound * s.HeartbeatBytes,
			Cores:              poll * z.PeersPerRound * s.HeartbeatNs * perNs,
			Control:            true,
		},
		{
			Role: "session", Mechanism: "one row a node, renewed by conditional write",
			WireBytesPerSecond:   s.RenewBytes / z.RenewSeconds,
			Cores:                s.RenewNs / z.RenewSeconds * perNs,
			TableWritesPerSecond: nodes / z.RenewSeconds,
			Control:              true,
		},
		{
			Role: "membership", Mechanism: "each node reads all session rows in each round",
			StateBytes:          nodes * s.ScanRowBytes,
			WireBytesPerSecond:  poll * nodes * s.ScanRowBytes,
			Cores:               poll * (s.ScanFixedNs + s.ScanRowNs*nodes) * perNs,
			TableReadsPerSecond: poll * nodes,
			Control:             true,
		},
		{
			Role: "ownership", Mechanism: "rendezvous hashing over the live nodes of the data centre, remembered until the members change; rows are read and written only where the owner changes",
			StateBytes:           enginesHere * s.OwnerRowBytes,
			WireBytesPerSecond:   2 * moves * s.OwnerRowBytes,
			Cores:                (joins*enginesInDC*nodes/float64(z.DataCenters)*s.RendezvousNodeNs + poll*engines*s.OwnerLookupNs) * perNs,
			TableWritesPerSecond: 2 * moves,
			TableReadsPerSecond:  2 * moves,
			Control:              true,
		},
		{
			Role: "loads", Mechanism: "an intent row for each stable change; the budget at the node that hashing picks",
			StateBytes:           enginesHere * s.OwnerRowBytes,
			WireBytesPerSecond:   loads / nodes * (s.OwnerRowBytes + s.HeartbeatBytes),
			Cores:                loads * s.LoadBudgetNs * perNs,
			TableWritesPerSecond: loads,
			Control:              true,
		},
		{
			Role: "engine reports", Mechanism: "the owner polls its engines; a tick ten times a second",
			Cores:              enginesHere * (10*s.TickEngineNs + s.HeadReadNs/z.ReportSeconds) * perNs,
			WireBytesPerSecond: enginesHere * s.HeadReadBytes / z.ReportSeconds,
			Control:            true,
		},
		{
			Role: "entry work", Mechanism: "settings resolved, engines of the data centre ranked, a grant asked for",
			StateBytes:         running * s.GrantBytes,
			WireBytesPerSecond: requests * s.AdmitBytes,
			Cores:              requests * (s.ResolveNs + s.RouteFixedNs + s.RouteEngineNs*enginesInDC + s.AdmitNs) * perNs,
		},
		{
			Role: "owner work", Mechanism: "queue, slots and pins of each engine",
			StateBytes: running * s.SchedulerBytes,
			Cores:      requests * s.SchedulerNs * perNs,
		},
		{
			Role: "at-most-once ledger", Mechanism: "a row before and after each call, many calls in a transaction",
			WireBytesPerSecond:   0,
			Cores:                z.ServiceCallsPerSecond / nodes * s.LedgerNs * perNs,
			TableWritesPerSecond: z.ServiceCallsPerSecond * s.LedgerWrites,
			TableReadsPerSecond:  z.ServiceCallsPerSecond * s.LedgerReads,
		},
	}
}

// Totals sums the lines that count against the budgets.
func Totals(s Slopes, lines []RoleCost) (control, all RoleCost) {
	control.Role, all.Role = "control, a node", "all, the platform"
	control.StateBytes = s.IdleProcessBytes
	for _, l := range lines {
		all.TableWritesPerSecond += l.TableWritesPerSecond
		all.TableReadsPerSecond += l.TableReadsPerSecond
		if l.Control {
			control.StateBytes += l.StateBytes
			control.WireBytesPerSecond += l.WireBytesPerSecond
			control.Cores += l.Cores
		}
	}
	return control, all
}

// WriteMarkdown writes the lines as a table, with the budgets at the end.
func WriteMarkdown(w io.Writer, s Slopes, z Size) {
	lines := RoleCosts(s, z)
	fmt.Fprintf(w, "| role | state | wire | processor | table writes | table reads | mechanism |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		fmt.Fprintf(w, "| %s | %s | %s/s | %.3f%% | %s/s | %s/s | %s |\n",
			l.Role, bytes(l.StateBytes), bytes(l.WireBytesPerSecond), 100*l.Cores, number(l.TableWritesPerSecond), number(l.TableReadsPerSecond), l.Mechanism)
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
	row("memory for control, a node", bytes(control.StateBytes), bytes(budgetMemory), control.StateBytes <= budgetMemory)
	row("wire for control, a node", bytes(control.WireBytesPerSecond)+"/s", bytes(budgetWire)+"/s", control.WireBytesPerSecond <= budgetWire)
	row("processor for control, a node", fmt.Sprintf("%.3f%%", 100*control.Cores), fmt.Sprintf("%.1f%%", 100*budgetCore), control.Cores <= budgetCore)
	row("table writes, all nodes", number(all.TableWritesPerSecond)+"/s", number(budgetWrites)+"/s", all.TableWritesPerSecond <= budgetWrites)
	row("table reads, all nodes", number(all.TableReadsPerSecond)+"/s", number(budgetReads)+"/s", all.TableReadsPerSecond <= budgetReads)
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
