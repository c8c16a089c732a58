package node

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

// step is one action of a plan. Plans are drawn outside the synctest bubble.
type step struct {
	kind  string
	node  int
	other int
	num   int
	span  time.Duration // duration of a fault
	pause time.Duration // before the next step
}

func (s step) String() string {
	return fmt.Sprintf("%s(node %d, other %d, num %d, %v) then %v", s.kind, s.node, s.other, s.num, s.span, s.pause)
}

// stepKinds lists the actions; an action that is listed more often is drawn more often.
var stepKinds = []string{
	"burst", "burst", "burst", "burst", "long", "long", "order", "order", "order",
	"publish", "race", "kill", "kill-untold", "freeze", "freeze", "cut-both", "cut-one-way", "cut-platform",
	"table-down", "table-slow", "lose-answers", "object-down",
	"engine-restart", "fail-loads", "slow-engine", "cut-streams", "cross", "duplicate", "late",
	"lose-service", "drain", "close", "cut-engine",
}

const fuzzNodes = 7

var stepGen = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		node:  rapid.IntRange(0, fuzzNodes-1).Draw(t, "node"),
		other: rapid.IntRange(0, fuzzNodes-1).Draw(t, "other"),
		num:   rapid.IntRange(0, 1000).Draw(t, "num"),
		span:  time.Duration(rapid.IntRange(100, 20_000).Draw(t, "span")) * time.Millisecond,
		pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
	}
})

// injectFor turns a fault on for d.
func (c *cluster) injectFor(d time.Duration, on, off func()) {
	on()
	c.spawn(func() {
		time.Sleep(d)
		off()
	})
}

func (c *cluster) runStep(s step) {
	t := c.nodes[s.node]
	eng := c.engines[s.num%len(c.engines)]
	process := t.process()
	switch s.kind {
	case "burst":
		for i := range 6 {
			version := []string{"", "", "v1", "v2"}[(s.num+i)%4]
			c.spawn(func() {
				c.sendRequest((s.node+i)%fuzzNodes, "counter", (s.num+i*i)%testAdapters, version, 3+(s.num+i)%30, i%2 == 0)
			})
		}
	case "long":
		c.spawn(func() { c.sendRequest(s.node, "depot", s.num%testAdapters, "", 100+s.num%300, s.num%2 == 0) })
	case "order":
		for i := range 3 {
			c.spawn(func() {
				time.Sleep(time.Duration(i*s.other) * 300 * time.Millisecond)
				c.placeOrder((s.node+i)%fuzzNodes, s.num%2, s.num/100)
			})
		}
	case "publish":
		c.spawn(func() { c.publish(s.node, s.num%testAdapters, []string{"v1", "v2"}[s.other%2]) })
	case "race":
		c.spawn(func() { c.publish(s.node, s.num%testAdapters, "v1") })
		c.spawn(func() { c.publish(s.other, s.num%testAdapters, "v2") })
	case "kill", "kill-untold":
		c.killNode(s.node, s.kind == "kill")
		time.Sleep(s.span / 4)
		if !t.running {
			c.startNode(s.node)
		}
	case "freeze":
		c.injectFor(s.span, func() { c.net.Freeze(process) }, func() { c.net.Thaw(process) })
	case "cut-both", "cut-one-way", "cut-platform", "cut-engine":
		c.cutLink(s, process)
	case "close":
		if t.running {
			if err := c.closeNode(s.node); err != nil {
				c.countOutcome("close: " + err.Error())
			}
			c.startNode(s.node)
		}
	case "drain":
		c.spawn(func() {
			_, _ = c.edit(s.node, drainEdit(s.num%len(c.engines), true)) // another fault may make it fail
			time.Sleep(s.span)
			_, _ = c.edit(s.other, drainEdit(s.num%len(c.engines), false))
		})
	default:
		c.injectFault(s, eng)
	}
}

func drainEdit(engine int, on bool) settings.Edit {
	return settings.Edit{
		Kind: settings.Backend, Name: engineProcess(engine), BaseRev: settings.AnyRevision,
		Set: map[string]string{"drain": onOff(on)},
	}
}

func (c *cluster) cutLink(s step, process string) {
	to := c.nodes[s.other].process()
	switch s.kind {
	case "cut-platform":
		to = platformProcess
	case "cut-engine":
		to = engineProcess(s.num % len(c.engines))
	}
	both := s.kind == "cut-both"
	set := func(cut bool) {
		c.net.SetBlocked(process, to, cut)
		if both {
			c.net.SetBlocked(to, process, cut)
		}
	}
	c.injectFor(s.span, func() { set(true) }, func() { set(false) })
}

func (c *cluster) injectFault(s step, eng *standin.Engine) {
	clearFault := func() { eng.SetFault(standin.EngineFault{}) }
	switch s.kind {
	case "table-down":
		c.injectFor(s.span, func() { c.table.SetFault(standin.TableFault{Down: true}) }, func() { c.table.SetFault(standin.TableFault{}) })
	case "table-slow":
		c.injectFor(s.span, func() { c.table.SetFault(standin.TableFault{Delay: 700 * time.Millisecond}) }, func() { c.table.SetFault(standin.TableFault{}) })
	case "lose-answers":
		c.injectFor(s.span, func() { c.table.SetFault(standin.TableFault{LoseResponse: loseEveryNth(3)}) }, func() { c.table.SetFault(standin.TableFault{}) })
	case "object-down":
		c.injectFor(s.span, func() { c.object.SetDown(true) }, func() { c.object.SetDown(false) })
	case "engine-restart":
		eng.Restart()
	case "fail-loads":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{FailLoads: 2}) }, clearFault)
	case "slow-engine":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{Slowdown: 10}) }, clearFault)
	case "cut-streams":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{CutAfterTokens: 1 + s.num%10, CutStreams: 3}) }, clearFault)
	case "cross":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{ForeignChunks: 5}) }, clearFault)
	case "duplicate":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{DuplicateChunks: 5}) }, clearFault)
	case "late":
		c.injectFor(s.span, func() { eng.SetFault(standin.EngineFault{Delay: time.Duration(s.num) * time.Millisecond}) }, clearFault)
	case "lose-service":
		c.services[s.num%2].SetFault(standin.ServiceFault{LoseResponses: 2})
	default:
		panic("unknown step " + s.kind)
	}
}

// runPlan runs a plan in a synctest bubble and returns the violations.
func runPlan(t *testing.T, plan []step) []string {
	var violations []string
	defer limitProcessors()()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fuzzNodes, 4)
		time.Sleep(10 * time.Second)
		for _, s := range plan {
			c.runStep(s)
			time.Sleep(s.pause)
		}
		c.wg.Wait()
		c.clearFaults()
		c.checkRecovered(t)
		c.finish()
		violations = c.checkInvariants()
	})
	return violations
}

var randomSeeds = flag.Bool("fresh", false, "let rapid choose random seeds")

// TestGuaranteesUnderFailure injects random faults into a system of seven nodes and
// checks the invariants against what the stand-in servers recorded.
func TestGuaranteesUnderFailure(t *testing.T) {
	if !*randomSeeds {
		fixSeed(t)
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepGen, 5, 40).Draw(rt, "plan")
		if violations := runPlan(t, plan); len(violations) > 0 {
			lines := make([]string, len(plan))
			for i, s := range plan {
				lines[i] = s.String()
			}
			rt.Fatalf("violated invariants:\n%s\nplan:\n%s", strings.Join(violations, "\n"), strings.Join(lines, "\n"))
		}
	})
}

// fixSeed makes rapid draw the same plans in every run, unless its flags are set.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}
