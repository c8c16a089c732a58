// Command 6 cuts off the owner of engines, and restores the store just after another node has sent its first
// command to one of them. See claim.txt.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/review/rig2"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	nodes, engines = 3, 6
	// callers send short streams to adapters, of which the engines hold a part, so that there are commands.
	callers, adapters = 24, 200
	events            = 3
	eventTime         = 15 * time.Millisecond
	callPause         = 100 * time.Millisecond
	streamTimeout     = 2 * time.Second
	// leaseTime and freezeSlack are the bounds lease_ms and freeze_slack_ms.
	leaseTime   = 3 * time.Second
	freezeSlack = 300 * time.Millisecond
	// longestCut is how long the owner is cut off at most. It ends when another node has sent its first command.
	longestCut = 12 * time.Second
	// copyAge is the age of the copy that the store comes back from, and restoreAfter counts from that command.
	copyAge      = 5 * time.Second
	restoreAfter = 100 * time.Millisecond
	settleTime   = 8 * time.Second
	watchTime    = 8 * time.Second
	lookInterval = 10 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	var replicas []*standin.Replica
	for i := range engines {
		e := rig2.NewEngine(i+1, "", eventTime)
		e.AdapterSlots = 8
		replicas = append(replicas, e)
	}
	p, err := rig2.Start(rig2.Options{Case: 6, Config: rig2.EngineConfig, Replicas: replicas, Settings: rig2.MachineSettings, Cuttable: true})
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	defer p.Close()
	if err := p.StartNodes(nodes); err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	if err := p.AwaitOwners(engines); err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { call(ctx, p, i) })
	}
	time.Sleep(settleTime)
	healed := time.Time{}
	if rig2.HasTrouble() {
		if healed, err = play(p); err != nil {
			fmt.Println(err)
			return rig2.NotRun
		}
	}
	time.Sleep(watchTime)
	cancel()
	wg.Wait()
	return judge(p, healed)
}

// call sends streams to all nodes, one after the other.
func call(ctx context.Context, p *rig2.Platform, i int) {
	for k := 0; ctx.Err() == nil; k++ {
		s := &rig2.Stream{ID: fmt.Sprintf("q%d-%d", i, k)}
		s.Call(p.Nodes[(i+k)%nodes].Callers(), fmt.Sprintf("%s/a%d", rig2.Model, 1+rand.N(adapters)), events, streamTimeout)
		select {
		case <-ctx.Done():
		case <-time.After(callPause):
		}
	}
}

// play brings the disruptions about, and returns when the cut ended.
func play(p *rig2.Platform) (healed time.Time, err error) {
	lone := p.Nodes[0]
	owned := make(map[*standin.Replica]bool) // by the node that is cut off
	for _, e := range p.Replicas {
		if c := e.Record().Commands; len(c) > 0 && c[len(c)-1].Sender == lone.Name {
			owned[e] = true
		}
	}
	if len(owned) == 0 {
		return healed, fmt.Errorf("%s owns no engine", lone.Name)
	}
	p.Record.Printf("%s, which owns %d engines, is cut off from the store and the other nodes", lone.Name, len(owned))
	lone.Cut(true)
	defer lone.Cut(false)
	var copies []*standin.StoreCopy // one each lookInterval
	for end := time.Now().Add(longestCut); time.Now().Before(end); time.Sleep(lookInterval) {
		copies = append(copies, p.Store.Copy())
		for e := range owned {
			c := e.Record().Commands
			last := c[len(c)-1]
			if last.Sender == lone.Name {
				continue
			}
			p.Record.Printf("the first command of %s arrives at %s", last.Sender, e.Self.ID)
			time.Sleep(restoreAfter)
			p.Store.Restore(copies[max(0, len(copies)-int(copyAge/lookInterval))])
			p.Record.Printf("the store comes back from a copy that is %v old, and the cut is over", copyAge)
			lone.Cut(false)
			return time.Now(), nil
		}
	}
	return healed, fmt.Errorf("no other node sent a command within %v", longestCut)
}

// judge looks for more than one holder among all commands, but those that are excused: of the node that was
// cut off, shortly after the links have healed.
func judge(p *rig2.Platform, healed time.Time) int {
	total, arrived := 0, 0
	for _, e := range p.Replicas {
		c := slices.DeleteFunc(slices.Clone(e.Record().Commands), func(a standin.Arrival) bool {
			d := a.At.Sub(healed)
			return !healed.IsZero() && a.Sender == p.Nodes[0].Name && d > -lookInterval && d < freezeSlack
		})
		arrived += len(c)
		v := standin.OwnerViolations(e.Self.ID, c, false, leaseTime)
		total += len(v)
		for _, text := range v {
			p.Record.Printf("broken: %s", text)
		}
		for i, a := range c[min(1, len(c)):] {
			if c[i].Sender != a.Sender {
				p.Record.Printf("%s: %v follows %v", e.Self.ID, a, c[i])
			}
		}
	}
	for _, text := range []string{"took over the engine", "released the engine", "restored from a copy; registering", "session registered"} {
		p.RecordLog(text)
	}
	p.Record.Printf("%d commands, %d times more than one holder", arrived, total)
	fmt.Printf("commands %d, violations %d\n", arrived, total)
	if total > 0 {
		return rig2.Broken
	}
	return rig2.Held
}
