package capacity

import (
	"fmt"
	"io"
	"math"
)

// RoleCost is the cost of one role. Memory, network and CPU are per node; reads and
// writes of the table are totals over all nodes.
type RoleCost struct {
	Role                 string
	Mechanism            string
	StateBytes           float64
	WireBytesPerSecond   float64
	Cores                float64
	TableWritesPerSecond float64
	TableReadsPerSecond  float64
	Control              bool // counts towards the node's budget for the control plane
}

const coresPerNs = 1e-9

// RoleCosts estimates the cost of every role at a size.
func RoleCosts(s Slopes, size Size) []RoleCost {
	nodes, engines := float64(size.Nodes), float64(size.Engines)
	enginesPerNode := engines / nodes
	enginesInDC := engines / float64(size.DataCenters)
	requestsPerNode := size.RequestsPerSecond / nodes
	changesPerSecond := size.ChangesPerDay / secondsPerDay
	pollsPerSecond := 1 / size.PollSeconds
	runningPerNode := requestsPerNode * size.RequestSeconds
	adapters := float64(size.Adapters)
	loadsPerSecond := adapters * size.ActivationShare / secondsPerHour * size.LoadsPerActivation
	// A VM failure or a node restart changes the members twice: the node leaves and returns.
	memberChangesPerSecond := 2 * (size.VMFailuresPerDay + size.NodeRestartsPerDay) / secondsPerDay
	ownerChangesPerSecond := memberChangesPerSecond / 2 * enginesPerNode
	return []RoleCost{
		{
			Role: "settings tree", Mechanism: "immutable tree on every node; a change copies the maps it touches",
			StateBytes: adapters*s.AdapterBytes + float64(size.Branches)*s.BranchBytes + float64(size.Callers)*s.CallerBytes + engines*s.BackendBytes,
			Cores:      changesPerSecond * (s.ChangeNs + s.ChangeAdapterNs*adapters) * coresPerNs,
			Control:    true,
		},
		{
			Role: "settings spread", Mechanism: "heartbeats carry the revision, bodies come from the peer; each node polls the head",
			WireBytesPerSecond:   changesPerSecond*s.ChangeWireBytes + pollsPerSecond*s.HeadReadBytes,
			Cores:                pollsPerSecond * s.HeadReadNs * coresPerNs,
			TableWritesPerSecond: changesPerSecond,
			TableReadsPerSecond:  pollsPerSecond * nodes,
			Control:              true,
		},
		{
			Role: "heartbeats", Mechanism: "a fixed number of random peers in each round, and those that owe an answer",
			WireBytesPerSecond: 2 * pollsPerSecond * size.PeersPerRound * s.HeartbeatBytes,
			Cores:              pollsPerSecond * size.PeersPerRound * s.HeartbeatNs * coresPerNs,
			Control:            true,
		},
		{
			Role: "session", Mechanism: "one row a node, renewed by conditional write",
			WireBytesPerSecond:   s.RenewBytes / size.RenewSeconds,
			Cores:                s.RenewNs / size.RenewSeconds * coresPerNs,
			TableWritesPerSecond: nodes / size.RenewSeconds,
			Control:              true,
		},
		{
			Role: "membership", Mechanism: "each node reads all session rows in each round",
			StateBytes:          nodes * s.ScanRowBytes,
			WireBytesPerSecond:  pollsPerSecond * nodes * s.ScanRowBytes,
			Cores:               pollsPerSecond * (s.ScanFixedNs + s.ScanRowNs*nodes) * coresPerNs,
			TableReadsPerSecond: pollsPerSecond * nodes,
			Control:             true,
		},
		{
			Role: "ownership", Mechanism: "rendezvous hashing over the live nodes of the data centre, remembered until the members change; rows are read and written only where the owner changes",
			StateBytes:           enginesPerNode * s.OwnerRowBytes,
			WireBytesPerSecond:   2 * ownerChangesPerSecond * s.OwnerRowBytes,
			Cores:                (memberChangesPerSecond*enginesInDC*nodes/float64(size.DataCenters)*s.RendezvousNodeNs + pollsPerSecond*engines*s.OwnerLookupNs) * coresPerNs,
			TableWritesPerSecond: 2 * ownerChangesPerSecond,
			TableReadsPerSecond:  2 * ownerChangesPerSecond,
			Control:              true,
		},
		{
			Role: "loads", Mechanism: "an intent row for each stable change; the budget at the node that hashing picks",
			StateBytes:           enginesPerNode * s.OwnerRowBytes,
			WireBytesPerSecond:   loadsPerSecond / nodes * (s.OwnerRowBytes + s.HeartbeatBytes),
			Cores:                loadsPerSecond * s.LoadBudgetNs * coresPerNs,
			TableWritesPerSecond: loadsPerSecond,
			Control:              true,
		},
		{
			Role: "engine reports", Mechanism: "the owner polls its engines; a tick ten times a second",
			Cores:              enginesPerNode * (10*s.TickEngineNs + s.HeadReadNs/size.ReportSeconds) * coresPerNs,
			WireBytesPerSecond: enginesPerNode * s.HeadReadBytes / size.ReportSeconds,
			Control:            true,
		},
		{
			Role: "entry work", Mechanism: "settings resolved, engines of the data centre ranked, a grant asked for",
			StateBytes:         runningPerNode * s.GrantBytes,
			WireBytesPerSecond: requestsPerNode * s.AdmitBytes,
			Cores:              requestsPerNode * (s.ResolveNs + s.RouteFixedNs + s.RouteEngineNs*enginesInDC + s.AdmitNs) * coresPerNs,
		},
		{
			Role: "owner work", Mechanism: "queue, slots and pins of each engine",
			StateBytes: runningPerNode * s.SchedulerBytes,
			Cores:      requestsPerNode * s.SchedulerNs * coresPerNs,
		},
		{
			Role: "at-most-once ledger", Mechanism: "a row before and after each call, many calls in a transaction",
			WireBytesPerSecond:   0,
			Cores:                size.ServiceCallsPerSecond / nodes * s.LedgerNs * coresPerNs,
			TableWritesPerSecond: size.ServiceCallsPerSecond * s.LedgerWrites,
			TableReadsPerSecond:  size.ServiceCallsPerSecond * s.LedgerReads,
		},
	}
}

// Totals sums the costs that have a budget: the control plane's cost per node, and the
// table reads and writes of all nodes.
func Totals(s Slopes, costs []RoleCost) (control, all RoleCost) {
	control.Role, all.Role = "control, a node", "all, the platform"
	control.StateBytes = s.IdleProcessBytes
	for _, cost := range costs {
		all.TableWritesPerSecond += cost.TableWritesPerSecond
		all.TableReadsPerSecond += cost.TableReadsPerSecond
		if cost.Control {
			control.StateBytes += cost.StateBytes
			control.WireBytesPerSecond += cost.WireBytesPerSecond
			control.Cores += cost.Cores
		}
	}
	return control, all
}

// WriteMarkdown writes the cost of every role and a comparison with the budgets as
// Markdown tables.
func WriteMarkdown(w io.Writer, s Slopes, size Size) {
	costs := RoleCosts(s, size)
	fmt.Fprintf(w, "| role | state | wire | processor | table writes | table reads | mechanism |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|\n")
	for _, cost := range costs {
		fmt.Fprintf(w, "| %s | %s | %s/s | %.3f%% | %s/s | %s/s | %s |\n",
			cost.Role, formatBytes(cost.StateBytes), formatBytes(cost.WireBytesPerSecond), 100*cost.Cores, formatNumber(cost.TableWritesPerSecond), formatNumber(cost.TableReadsPerSecond), cost.Mechanism)
	}
	control, all := Totals(s, costs)
	fmt.Fprintf(w, "\n| budget | needed | allowed | |\n|---|---|---|---|\n")
	writeRow := func(name, need, allowed string, ok bool) {
		verdict := "holds"
		if !ok {
			verdict = "**breaks**"
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", name, need, allowed, verdict)
	}
	writeRow("memory for control, a node", formatBytes(control.StateBytes), formatBytes(budgetMemory), control.StateBytes <= budgetMemory)
	writeRow("wire for control, a node", formatBytes(control.WireBytesPerSecond)+"/s", formatBytes(budgetNetwork)+"/s", control.WireBytesPerSecond <= budgetNetwork)
	writeRow("processor for control, a node", fmt.Sprintf("%.3f%%", 100*control.Cores), fmt.Sprintf("%.1f%%", 100*budgetCores), control.Cores <= budgetCores)
	writeRow("table writes, all nodes", formatNumber(all.TableWritesPerSecond)+"/s", formatNumber(budgetWrites)+"/s", all.TableWritesPerSecond <= budgetWrites)
	writeRow("table reads, all nodes", formatNumber(all.TableReadsPerSecond)+"/s", formatNumber(budgetReads)+"/s", all.TableReadsPerSecond <= budgetReads)
}

func formatBytes(b float64) string {
	switch {
	case b >= 1<<20:
		return fmt.Sprintf("%.1f MB", b/(1<<20))
	case b >= 1<<10:
		return fmt.Sprintf("%.1f KB", b/(1<<10))
	}
	return fmt.Sprintf("%.0f B", b)
}

func formatNumber(v float64) string {
	if v != 0 && math.Abs(v) < 10 {
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.0f", v)
}
