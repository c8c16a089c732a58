package node

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/vmlist"
)

// limitProcessors reduces GOMAXPROCS until restore is called. In virtual time all
// goroutines wake at once, and under the race detector more processors only contend for
// locks.
func limitProcessors() (restore func()) {
	before := runtime.GOMAXPROCS(2)
	return func() { runtime.GOMAXPROCS(before) }
}

// runInCluster runs f in a synctest bubble with a system that has started.
func runInCluster(t *testing.T, nodes, engines int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	defer limitProcessors()()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(nodes, engines)
		time.Sleep(10 * time.Second)
		f(t, c)
		c.finish()
		for _, violation := range c.checkInvariants() {
			t.Error(violation)
		}
	})
}

func TestServesThroughEveryNode(t *testing.T) {
	runInCluster(t, 7, 4, func(t *testing.T, c *cluster) {
		is := is.New(t)
		for i := range 56 {
			c.spawn(func() { c.sendRequest(i%7, "counter", i%testAdapters, "", 20, i%2 == 0) })
		}
		c.wg.Wait()
		is.Equal(c.outcomes, map[string]int{"served": 56})
		c.checkRecovered(t)
	})
}

// Guards against calls without a timeout: a call that was lost without an error used to
// block the load budget and its request forever.
func TestLostCallsEndByTheDeadline(t *testing.T) {
	runInCluster(t, 7, 4, func(t *testing.T, c *cluster) {
		is := is.New(t)
		for from := range 7 {
			for to := range 7 {
				c.net.SetBlocked(c.nodes[from].process(), c.nodes[to].process(), from != to)
			}
		}
		for i := range 28 {
			c.spawn(func() { c.sendRequest(i%7, "counter", i%testAdapters, "", 20, false) })
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		for from := range 7 {
			for to := range 7 {
				c.net.SetBlocked(c.nodes[from].process(), c.nodes[to].process(), false)
			}
		}
		c.wg.Wait()
		is.True(time.Since(start) < 23*time.Second) // the branch's deadline of 20 s and a margin
		c.checkRecovered(t)
	})
}

// churn sends requests for all adapters, so that engines keep loading and evicting.
func (c *cluster) churn(d time.Duration, nodes ...int) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		c.spawn(func() { c.sendRequest(nodes[i%len(nodes)]%len(c.nodes), "depot", i%testAdapters, "", 5+i%12, i%2 == 0) })
		time.Sleep(60 * time.Millisecond)
	}
}

func (c *cluster) ownerOf(engine int) int {
	owner, token := -1, int64(0)
	for i, t := range c.nodes {
		if o := t.node.ownedEngine(engineProcess(engine)); t.running && o != nil && o.token > token {
			owner, token = i, o.token // a frozen owner may not know that it was replaced
		}
	}
	return owner
}

// describeOwners describes the state of an engine at each node that considers itself
// its owner.
func (c *cluster) describeOwners(index int) (out []string) {
	for _, tn := range c.nodes {
		if o := tn.node.ownedEngine(engineProcess(index)); o != nil {
			o.mu.Lock()
			out = append(out, fmt.Sprintf("%s: %+v, %v, %d streams, %d commands in flight, row %+v", tn.process(), o.sched.Mode(), o.sched.Resident(), len(o.sched.Running()), o.commandsInFlight, o.row))
			o.mu.Unlock()
		}
	}
	return out
}

// freezeOwnerInEviction freezes the owner of an engine after it has decided to unload
// an adapter and before the command is sent.
func (c *cluster) freezeOwnerInEviction(index int) (owner int, process string) {
	for range 200 {
		if owner = c.ownerOf(index); owner >= 0 {
			process = c.nodes[owner].process()
			c.net.FreezeOnCall(process, engine.PathUnload)
			time.Sleep(50 * time.Millisecond)
			if c.net.Frozen(process) {
				return owner, process
			}
			c.net.FreezeOnCall(process, "")
		}
	}
	return -1, ""
}

// Guards against an owner that pauses at any point, also with a command in flight: its
// late unload must not remove an adapter that a stream of the next owner uses.
func TestFrozenOwner(t *testing.T) {
	for index, name := range []string{"checks fencing tokens", "ignores fencing tokens"} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 4, 2, func(t *testing.T, c *cluster) {
				for round := range 3 {
					c.spawn(func() { c.churn(22*time.Second, round, round+1, round+2) })
					time.Sleep(time.Second)
					owner, process := c.freezeOwnerInEviction(index)
					if owner < 0 {
						t.Errorf("round %d: no owner evicted an adapter: %v", round, c.describeOwners(index))
						break
					}
					time.Sleep(13 * time.Second)
					for a := range testAdapters {
						c.spawn(func() { c.sendRequest((owner+1)%4, "depot", a, "", 150, true) })
					}
					time.Sleep(2 * time.Second)
					if now := c.ownerOf(index); now == owner || now < 0 {
						t.Errorf("round %d: no node took over the engine of the frozen owner", round)
					}
					c.net.Thaw(process)
					time.Sleep(10 * time.Second)
				}
				c.wg.Wait()
			})
		})
	}
}

// Guards against a command under a new owner while a former one may still send some to an
// engine that ignores fencing tokens.
func TestNewOwnerWaitsForFrozenOwner(t *testing.T) {
	runInCluster(t, 4, 2, func(t *testing.T, c *cluster) {
		is := is.NewRelaxed(t)
		const index = 1 // ignores fencing tokens
		c.mustEdit(settings.Backend, engineProcess(0), map[string]string{"drain": "on"})
		c.sendRequest(0, "depot", 0, "", 5, false) // other slots are left free, so that a load needs no eviction
		time.Sleep(5 * time.Second)                // no command is in flight
		owner := c.ownerOf(index)
		c.net.Freeze(c.nodes[owner].process())
		for end := time.Now().Add(20 * time.Second); c.ownerOf(index) == owner && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(c.ownerOf(index) != owner) // another node took over
		commands := func() int { r := c.engines[index].Record(); return r.Loads + r.Unloads }
		before := commands()
		c.churn(10*time.Second, owner+1, owner+2, owner+3)
		is.Equal(commands(), before)
		c.net.Thaw(c.nodes[owner].process())
		c.churn(10*time.Second, 0, 1, 2, 3)
		is.True(commands() > before)
		c.wg.Wait()
	})
}

// Guards against a stale stable list: an adapter whose load failed after its intent was
// written, and that is loaded into a swap slot later, must leave the list before it is
// unloaded.
func TestFailedLoadRemovedFromStableList(t *testing.T) {
	runInCluster(t, 2, 2, func(_ *testing.T, c *cluster) {
		for range 6 {
			c.engines[1].SetFault(standin.EngineFault{FailLoads: 3})
			c.churn(4*time.Second, 0, 1)
		}
		c.engines[1].SetFault(standin.EngineFault{})
		c.churn(10*time.Second, 0, 1)
		c.wg.Wait()
	})
}

// startLongStreams starts streams that take half a minute through one entry node.
func (c *cluster) startLongStreams(entry int) {
	for _, e := range c.engines {
		e.SetFault(standin.EngineFault{Slowdown: 4})
	}
	for a := range 6 {
		c.spawn(func() { c.sendRequest(entry, "depot", a, "", 300, true) })
	}
	time.Sleep(3 * time.Second)
}

// An entry node that stops responding keeps its grants, since its streams still run.
func TestFrozenEntryKeepsPins(t *testing.T) {
	runInCluster(t, 4, 2, func(_ *testing.T, c *cluster) {
		const entry = 0
		c.startLongStreams(entry)
		process := c.nodes[entry].process()
		c.net.Freeze(process)
		c.churn(15*time.Second, 1, 2, 3)
		c.net.Thaw(process)
		c.wg.Wait()
	})
}

// Guards against a slow takeover of a dead owner's engines: the first takeover fences
// its session, and the other engines must not wait for the next poll.
func TestEnginesOfDeadOwnerAreTakenOverTogether(t *testing.T) {
	runInCluster(t, 4, 8, func(t *testing.T, c *cluster) {
		is := is.New(t)
		owned := map[int][]int{}
		for e := range c.engines {
			owned[c.ownerOf(e)] = append(owned[c.ownerOf(e)], e)
		}
		for owner := range c.nodes {
			engines := owned[owner]
			if len(engines) < 2 {
				continue
			}
			c.killNode(owner, false)
			var first, last time.Time
			for taken := 0; taken < len(engines); time.Sleep(10 * time.Millisecond) {
				taken = 0
				for _, e := range engines {
					if now := c.ownerOf(e); now >= 0 && now != owner {
						taken++
					}
				}
				if last = time.Now(); taken > 0 && first.IsZero() {
					first = last
				}
			}
			is.True(last.Sub(first) < 200*time.Millisecond)
			return
		}
		t.Error("no node owns two engines")
	})
}

// Streams of other entry nodes continue after the death of their engine's owner, and
// the next owner evicts no adapter that they use.
func TestStreamsOutliveTheirOwner(t *testing.T) {
	runInCluster(t, 4, 2, func(t *testing.T, c *cluster) {
		owner := c.ownerOf(0)
		entry := (owner + 1) % 4
		c.startLongStreams(entry)
		c.killNode(owner, true)
		c.churn(25*time.Second, entry, (owner+2)%4, (owner+3)%4)
		c.wg.Wait()
		is.New(t).Equal(c.outcomes["incomplete"], 0)
	})
}

// Guards against a new owner that evicts the adapter of a stream of which it has not heard from its
// entry node: every slot is in use, so that any eviction interrupts one.
func TestNewOwnerEvictsNoAdapterInUse(t *testing.T) {
	runInCluster(t, 4, 2, func(t *testing.T, c *cluster) {
		is := is.NewRelaxed(t)
		c.mustEdit(settings.Branch, "/counter", map[string]string{"deadline": "2m"})
		c.mustEdit(settings.Backend, engineProcess(1), map[string]string{"drain": "on"})
		time.Sleep(settingsDeadline)
		owner := c.ownerOf(0)
		entry := (owner + 1) % 4
		c.engines[0].SetFault(standin.EngineFault{Slowdown: 8})
		ended := make(chan bool, testSlots)
		for a := range testSlots {
			c.spawn(func() {
				c.sendRequest(entry, "counter", a, "", 400, true)
				ended <- true
			})
		}
		time.Sleep(5 * time.Second)
		loaded := c.engines[0].Loaded()
		is.Equal(len(loaded), testSlots)
		is.Equal(len(c.engines[0].Record().Started), testSlots)
		c.killNode(owner, true)
		c.churn(20*time.Second, entry, owner+2, owner+3)
		is.True(c.ownerOf(0) >= 0) // another node took over
		is.Equal(len(ended), 0)
		is.Equal(c.engines[0].Loaded(), loaded)
		c.engines[0].SetFault(standin.EngineFault{})
		c.wg.Wait()
		is.Equal(c.outcomes["incomplete"], 0)
	})
}

func TestDrainedEngineGetsNoNewWork(t *testing.T) {
	for _, tt := range []struct {
		name  string
		drain func(c *cluster)
	}{
		{"operator", func(c *cluster) {
			c.mustEdit(settings.Backend, engineProcess(0), map[string]string{"drain": "on"})
		}},
		{"VM list", func(c *cluster) { c.vms.Set(engineAddress(0), vmlist.Leaving) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.churn(3*time.Second, 0, 1, 2)
				is.True(len(c.engines[0].Record().Started) > 0)
				tt.drain(c)
				c.churn(5*time.Second, 0, 1, 2) // the VM list lags by 2 s
				before := len(c.engines[0].Record().Started)
				c.churn(10*time.Second, 0, 1, 2)
				c.wg.Wait()
				is.Equal(len(c.engines[0].Record().Started), before)
				is.Equal(c.outcomes["incomplete"], 0)
			})
		})
	}
}

// The deadline of 60 s lets all requests finish on either engine. At 20 s, an engine
// with 13 of them refuses the last one, with or without a shutdown.
func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.mustEdit(settings.Branch, "/depot", map[string]string{"deadline": "60s"})
		for i := range 24 {
			c.spawn(func() { c.sendRequest(i%3, "depot", i%3, "", 150, i%2 == 0) })
		}
		time.Sleep(2 * time.Second)
		is.NoErr(c.closeNode(1))
		is.Equal(c.nodes[1].node.InFlight(), 0)
		c.wg.Wait()
		is.Equal(c.outcomes, map[string]int{"served": 24})
	})
}

// Requests that still waited when the time to drain was over were cut without an answer.
func TestDrainTimeoutAnswersWhatWaits(t *testing.T) {
	runInCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.mustEdit(settings.Branch, "/depot", map[string]string{"deadline": "10m"})
		time.Sleep(settingsDeadline) // before, the owner refuses those that would wait too long
		const requests = 80
		for i := range requests { // more than the engine runs at once
			c.spawn(func() { c.sendRequest(1, "depot", i%3, "", 500, false) })
		}
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		closed := c.nodes[1]
		is.True(closed.node.Close(ctx) != nil) // some run, and are cut
		c.wg.Wait()                            // the process ends after its responses have left
		closed.running = false
		c.net.Kill(closed.process())
		refused := c.outcomes["request not-ready not-run"]
		is.True(refused > 0)
		is.Equal(c.outcomes["served"]+refused+c.outcomes["request incomplete unknown"], requests)
	})
}

// A node without contact to the table or a peer must stop admitting before a change
// that it has not received must be in force.
func TestIsolatedNodeStopsAdmitting(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		isolated := c.nodes[0].process()
		for _, other := range []string{platformProcess, c.nodes[1].process(), c.nodes[2].process()} {
			c.net.SetBlocked(isolated, other, true)
			c.net.SetBlocked(other, isolated, true)
		}
		c.publish(1, 0, "v2")
		time.Sleep(settingsDeadline + time.Second)
		c.sendRequest(0, "counter", 0, "", 5, false)
		c.sendRequest(1, "counter", 0, "", 5, false)
		is.Equal(c.outcomes["request not-ready not-run"], 1)
		is.Equal(c.outcomes["served"], 1)
	})
}

// Loaded adapters are served by any owner during a long outage of the table, and
// settings do not revert afterwards.
func TestTableOutage(t *testing.T) {
	runInCluster(t, 7, 4, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.churn(5*time.Second, 0, 1, 2, 3, 4, 5, 6)
		c.wg.Wait()
		c.publish(2, 1, "v2")
		time.Sleep(settingsDeadline)
		c.table.SetFault(standin.TableFault{Down: true})
		served := c.outcomes["served"]
		for range 100 { // ten minutes
			c.sendRequest(0, "counter", 0, "", 5, false)
			time.Sleep(6 * time.Second)
		}
		is.True(c.outcomes["served"]-served >= 95)
		_, err := c.edit(0, settings.Edit{Kind: settings.Adapter, Name: adapterName(0), Set: map[string]string{"current": "v2"}, BaseRev: settings.AnyRevision})
		is.True(err != nil)
		c.table.SetFault(standin.TableFault{})
		time.Sleep(20 * time.Second)
		c.checkRecovered(t)
	})
}

// Retries of an order, through any node and with responses lost by the table and the
// service, run it at most once and report its true outcome.
func TestOrdersRunAtMostOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no failure", func(*cluster) {}},
		{"service loses responses", func(c *cluster) {
			c.services[0].SetFault(standin.ServiceFault{LoseResponses: 20})
		}},
		{"service is slow", func(c *cluster) {
			c.services[0].SetFault(standin.ServiceFault{Delay: 3 * time.Second})
		}},
		{"service responds with 503", func(c *cluster) { c.services[0].SetFault(standin.ServiceFault{Down: true}) }},
		{"table loses every second response", func(c *cluster) {
			c.table.SetFault(standin.TableFault{LoseResponse: loseEveryNth(2)})
		}},
		{"table is down", func(c *cluster) { c.table.SetFault(standin.TableFault{Down: true}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
				tt.fault(c)
				for i := range 40 {
					c.spawn(func() {
						time.Sleep(time.Duration(i%5) * 400 * time.Millisecond)
						c.placeOrder(i%3, 0, i/4)
					})
				}
				c.wg.Wait()
				if tt.name == "no failure" {
					is.New(t).Equal(c.outcomes["order ran"], 40)
				}
				if tt.name == "table is down" {
					is.New(t).Equal(c.outcomes["order store-unavailable not-run"], 40)
				}
			})
		})
	}
}

// A call without an idempotency key to a path that is not marked repeatable is sent
// once. A repeatable call is retried at the next replica.
func TestServiceCallsWithoutKey(t *testing.T) {
	runInCluster(t, 1, 2, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.mustEdit(settings.Service, "s0", map[string]string{"addresses": serviceAddress(0) + "," + serviceAddress(1), "repeatable": "/status"})
		for _, s := range c.services {
			s.SetFault(standin.ServiceFault{LoseResponses: 1})
		}
		resp, err := c.post(0, "/v1/services/s0/place", "counter", "", "once")
		is.NoErr(err)
		is.Equal(resp.Header.Get(caller.HeaderOutcome), string(caller.Unknown))
		resp, err = c.post(0, "/v1/services/s0/status", "counter", "", "repeatable call")
		is.NoErr(err)
		is.Equal(resp.Header.Get(caller.HeaderOutcome), string(caller.Ran))
	})
}

// Streams that an engine interrupts, duplicates or mixes up reach the caller complete.
func TestDamagedStreams(t *testing.T) {
	for name, fault := range map[string]standin.EngineFault{
		"cut":        {CutAfterTokens: 3, CutStreams: 2},
		"crossed":    {ForeignChunks: 100},
		"duplicated": {DuplicateChunks: 100},
		"late":       {Delay: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
				for _, e := range c.engines {
					e.SetFault(fault)
				}
				for i := range 12 {
					c.spawn(func() { c.sendRequest(i%3, "counter", i%3, "", 30, i%2 == 0) })
				}
				c.wg.Wait()
				is.New(t).Equal(c.outcomes, map[string]int{"served": 12})
			})
		})
	}
}
