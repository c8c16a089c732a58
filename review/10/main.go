// Command 10 kills most nodes of a larger fleet at once while two software versions of the engines serve, and
// lets callers take their streams up at the others. See claim.txt.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanilladrift/vanilladrift/review/rig2"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	// The fleet has four zones, as the machines of the users' deployments. The nodes that are killed are drawn
	// anew for each run.
	nodes, zones, killedNodes = 40, 4, 24
	enginesOfVersion          = 4

	streamsOfNode = 6  // that begin at each node that is killed, over beginTime
	newStreams    = 32 // that begin at the others after that
	events        = 70 // of a stream, one each eventTime
	eventTime     = 50 * time.Millisecond
	streamTimeout = 6 * time.Second
	beginTime     = 2400 * time.Millisecond
	// leastTakenUp is the number of streams from which the rule holds, and leastShare the part of the share
	// of new streams that begin.
	leastTakenUp = 12
	leastShare   = 0.5
	settleTime   = 8 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	var engines []*standin.Replica
	for i := range 2 * enginesOfVersion {
		engines = append(engines, rig2.NewEngine(i+1, fmt.Sprintf("v%d", 1+i%2), eventTime))
	}
	p, err := rig2.Start(rig2.Options{Case: 10, Config: rig2.EngineConfig, Replicas: engines, Settings: rig2.MachineSettings, Zones: zones})
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	defer p.Close()
	if err := p.StartNodes(nodes); err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	if err := p.AwaitOwners(2 * enginesOfVersion); err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	time.Sleep(settleTime)
	return judge(p, play(p))
}

// streams are those of one run.
type streams struct{ old, fresh []*rig2.Stream }

// play brings the disruption about.
func play(p *rig2.Platform) (all streams) {
	var killed, left []*rig2.Node
	for i, k := range rand.Perm(len(p.Nodes)) {
		if i < killedNodes {
			killed = append(killed, p.Nodes[k])
		} else {
			left = append(left, p.Nodes[k])
		}
	}
	p.Record.Printf("%d streams begin at each of %d nodes", streamsOfNode, len(killed))
	var wg sync.WaitGroup
	for k := range streamsOfNode {
		for i, n := range killed {
			s := &rig2.Stream{ID: fmt.Sprintf("%s-s%d", n.Name, k+1)}
			all.old = append(all.old, s)
			wg.Go(func() {
				s.Call(n.Callers(), rig2.Model, events, streamTimeout)
				if !s.Ended && len(s.Events) > 0 {
					s.Call(left[(i+k)%len(left)].Callers(), rig2.Model, events, streamTimeout)
				}
			})
		}
		time.Sleep(beginTime / streamsOfNode)
	}
	if rig2.HasTrouble() {
		p.Record.Printf("%d of %d processes are killed at the same moment; callers take the streams up at the others", len(killed), len(p.Nodes))
		for _, n := range killed {
			n.Signal(syscall.SIGKILL)
		}
	}
	for i := range newStreams {
		s := &rig2.Stream{ID: fmt.Sprintf("n%d", i+1)}
		all.fresh = append(all.fresh, s)
		wg.Go(func() { s.Call(left[i%len(left)].Callers(), rig2.Model, events, streamTimeout) })
	}
	wg.Wait()
	return all
}

// judge compares the share of the streams that went on when they were taken up with that of the new ones.
func judge(p *rig2.Platform, all streams) int {
	takenUp, wentOn, began, joined := 0, 0, 0, 0
	for _, s := range all.old {
		if len(s.Tries) > 1 {
			takenUp++
			if s.Ended {
				wentOn++
			}
		}
		if len(s.Builds()) > 1 {
			joined++
		}
		p.Record.Printf("%s: %s; events by version: %v", s.ID, strings.Join(s.Tries, ", then "), s.Builds())
	}
	for _, s := range all.fresh {
		if len(s.Events) > 0 {
			began++
		}
		p.Record.Printf("%s: %s; events by version: %v", s.ID, strings.Join(s.Tries, ", then "), s.Builds())
	}
	p.Record.Printf("of %d streams that were taken up %d went on, of %d new ones %d began; %d hold events of two versions", takenUp, wentOn, len(all.fresh), began, joined)
	fmt.Printf("taken up %d, went on %d, new %d, began %d\n", takenUp, wentOn, len(all.fresh), began)
	switch {
	case began == 0 || rig2.HasTrouble() && takenUp < leastTakenUp:
		return rig2.NotRun
	case takenUp >= leastTakenUp && float64(wentOn)/float64(takenUp) < leastShare*float64(began)/float64(len(all.fresh)):
		return rig2.Broken
	}
	return rig2.Held
}
