//go:build !race

package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// leaseSteps lists the actions of a lease plan; one that is listed more often is drawn
// more often.
var leaseSteps = []string{"join", "join", "cut-store", "cut-store", "cut-store", "store-down", "kill", "restart", "restart", "freeze", "cut-one-way", "lose-answers"}

const (
	maxLeaseNodes = 9
	maxLeaseFault = 12 * time.Second
)

// restoreSteps lists the actions of a plan on the platform's store.
var restoreSteps = append([]string{"restore", "restore", "restore", "apply-late", "roll"}, leaseSteps...)

// stopSteps lists the actions of a plan with planned stops, also of nodes with commands in flight.
var stopSteps = append([]string{"stop", "stop", "stop", "stop", "apply-late"}, leaseSteps...)

var (
	leaseStepGen   = leaseStepsFrom(leaseSteps)
	stopStepGen    = leaseStepsFrom(stopSteps)
	restoreStepGen = leaseStepsFrom(restoreSteps)
)

func leaseStepsFrom(kinds []string) *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			node:  rapid.IntRange(0, maxLeaseNodes-1).Draw(t, "node"),
			other: rapid.IntRange(0, maxLeaseNodes-1).Draw(t, "other"),
			num:   rapid.IntRange(0, 1000).Draw(t, "num"),
			span:  time.Duration(rapid.IntRange(100, int(maxLeaseFault.Milliseconds())).Draw(t, "span")) * time.Millisecond,
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	})
}

// runStep carries out a step and returns a violation that it saw meanwhile.
func (c *leaseCluster) runStep(s step, faults *sync.WaitGroup) (violation string) {
	node, other := c.nodes[s.node%len(c.nodes)], c.nodes[s.other%len(c.nodes)]
	during := func(on, off func()) {
		on()
		faults.Go(func() {
			time.Sleep(s.span)
			off()
		})
	}
	switch s.kind {
	case "join":
		if len(c.nodes) < maxLeaseNodes {
			c.join()
		}
	case "cut-store":
		during(func() { c.cutFromStore(node, true) }, func() { c.cutFromStore(node, false) })
	case "store-down":
		during(func() { c.setFault(standin.TableFault{Down: true}) }, func() { c.setFault(standin.TableFault{}) })
	case "lose-answers":
		lose := func(table.Tx) bool { return true }
		during(func() { c.setFault(standin.TableFault{LoseResponse: lose}) }, func() { c.setFault(standin.TableFault{}) })
	case "apply-late":
		late := func(table.Tx) time.Duration { return time.Duration(s.num) * 6 * time.Millisecond }
		during(func() { c.setFault(standin.TableFault{ApplyLate: late}) }, func() { c.setFault(standin.TableFault{}) })
	case "restore":
		before := c.store.Copy()
		faults.Go(func() {
			time.Sleep(s.span)
			c.restore(before, time.Duration(s.num)*time.Millisecond)
		})
	case "roll":
		faults.Go(func() { node.HandOverEngines(node.ctx) })
		violation = c.watch(s.span / 10)
		c.kill(node)
		c.start(s.node % len(c.nodes))
	case "stop":
		violation = c.stop(node, s.span/5, time.Duration(s.num)*time.Millisecond)
		c.start(s.node % len(c.nodes))
	case "kill":
		c.kill(node)
	case "restart":
		c.kill(node)
		violation = c.watch(s.span / 10)
		c.start(s.node % len(c.nodes))
	case "freeze":
		during(func() { c.net.Freeze(node.Name()) }, func() { c.net.Thaw(node.Name()) })
	case "cut-one-way":
		if node != other {
			during(func() { c.net.SetBlocked(node.Name(), other.Name(), true) }, func() { c.net.SetBlocked(node.Name(), other.Name(), false) })
		}
	}
	return violation
}

// stopGrace is how long a planned stop may take in a plan. Some commands are longer in flight.
const stopGrace = 300 * time.Millisecond

// stop hands over the engines of a node, to each of which a command is in flight, and closes the node
// some time later, as a planned stop does. It returns a violation that it saw meanwhile.
func (c *leaseCluster) stop(n *Node, closeAfter, command time.Duration) (violation string) {
	for _, o := range n.ownedEngines() {
		if o.beginCommand() {
			time.AfterFunc(command, o.endCommand)
		}
	}
	ctx, cancel := context.WithTimeout(n.ctx, closeAfter+stopGrace)
	defer cancel()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { n.HandOverEngines(ctx) })
	violation = c.watch(closeAfter)
	tasks.Go(func() { _ = n.Close(ctx) }) // the session row stays if commands last too long
	violation += c.watch(stopGrace + command + time.Second)
	c.kill(n)
	return violation
}

// At no time may two nodes own an engine under a valid lease, whatever happens to members
// and store. Once all faults are over, every engine has an owner again.
func TestOneOwnerWhileMembersChange(t *testing.T) {
	if !*randomSeeds {
		fixSeed(t)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(leaseStepGen, 3, 25).Draw(rt, "plan")
		if v := runLeasePlan(t, newLeaseCluster, plan); len(v) > 0 {
			rt.Fatal(v, plan)
		}
	})
}

// At no time may a node be able to send commands to an engine under a fencing token that
// another ownership had, or a lower one, also while the store comes back from copies some
// seconds old and writes are applied late.
func TestTokensGrowWhileStoreIsRestored(t *testing.T) {
	if !*randomSeeds {
		fixSeed(t)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(restoreStepGen, 3, 25).Draw(rt, "plan")
		if v := runLeasePlan(t, newStoreCluster, plan); len(v) > 0 {
			rt.Fatal(v, plan)
		}
	})
}

// At no time may a node be able to send commands to an engine, or have some in flight, under a lower
// fencing token than another had before, while nodes stop as planned beside faults of store and network.
func TestTokensGrowWhileNodesStop(t *testing.T) {
	if !*randomSeeds {
		fixSeed(t)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stopStepGen, 3, 25).Draw(rt, "plan")
		if v := runLeasePlan(t, newStoreCluster, plan); len(v) > 0 {
			rt.Fatal(v, plan)
		}
	})
}

func runLeasePlan(t *testing.T, newCluster func(nodes, engines int) *leaseCluster, plan []step) (violations []string) {
	defer limitProcessors()()
	synctest.Test(t, func(_ *testing.T) {
		c := newCluster(5, 8)
		defer c.close()
		var faults sync.WaitGroup
		report := func(v string) {
			if v != "" {
				violations = append(violations, v)
			}
		}
		report(c.watch(6 * time.Second))
		for _, s := range plan {
			report(c.runStep(s, &faults))
			report(c.watch(s.pause))
		}
		report(c.watch(maxLeaseFault))
		faults.Wait()
		for i := range c.nodes {
			c.kill(c.nodes[i]) // some are dead already
			c.start(i)
		}
		report(c.watch(30 * time.Second))
		for _, d := range c.docs {
			if len(c.owners()[d.Name]) != 1 {
				report(d.Name + " has no owner")
			}
		}
	})
	return violations
}

// Guards against engines without an owner after their owners ended together with other
// nodes. The remaining witnesses must suffice to replace them, also for a node that joins
// afterwards.
func TestEnginesOfSeveralDeadOwnersAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(7, 24)
		defer c.close()
		time.Sleep(6 * time.Second)
		for _, n := range c.nodes[:4] {
			c.kill(n)
		}
		c.join()
		owned := make(map[string]bool) // at some time by a live node
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range c.docs {
				for _, n := range c.nodes[4:] {
					if n.ownedEngine(d.Name) != nil {
						owned[d.Name] = true
					}
				}
			}
		}
		is.Equal(len(owned), len(c.docs))
	})
}

// Guards against engines without an owner, and so without loads, for the time of a poll
// after a planned restart: the next owner must be told.
func TestReleasedEnginesAreTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(5, 16)
		defer c.close()
		time.Sleep(30*time.Second + 700*time.Millisecond) // between two polls
		leaving := c.nodes[slices.IndexFunc(c.nodes, func(n *Node) bool { return len(n.ownedEngines()) > 0 })]
		leaving.HandOverEngines(t.Context())
		is.Equal(len(leaving.ownedEngines()), 0)
		time.Sleep(100 * time.Millisecond)
		for _, d := range c.docs {
			is.Equal(len(c.owners()[d.Name]), 1)
		}
	})
}
