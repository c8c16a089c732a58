// Command 10 cuts one node off while two software versions of the engines serve, and lets callers take up at
// another node the streams that began there. See claim.txt.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/review/rig2"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	nodes, enginesOfVersion = 3, 3

	streams    = 60 // that begin at the node that is cut off
	newStreams = 30 // that begin at the node at which they are taken up
	events     = 60 // of a stream, one each eventTime
	// eventTime makes a stream last as long as one of a large review does.
	eventTime     = 50 * time.Millisecond
	streamTimeout = 6 * time.Second
	// leastTakenUp is the number of streams from which the rule holds, and leastShare the part of the share
	// of new streams that begin.
	leastTakenUp = 12
	leastShare   = 0.5
	// streamsAfter counts from the cut, resetAfter from the first stream.
	streamsAfter = time.Second
	resetAfter   = 1500 * time.Millisecond
	cutTime      = 5500 * time.Millisecond
	settleTime   = 6 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	var engines []*standin.Replica
	for i := range 2 * enginesOfVersion {
		engines = append(engines, rig2.NewEngine(i+1, fmt.Sprintf("v%d", 1+i%2), eventTime))
	}
	p, err := rig2.Start(rig2.Options{Case: 10, Config: rig2.EngineConfig, Replicas: engines, Settings: rig2.MachineSettings, Cuttable: true})
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	defer p.Close()
	takenUp, fresh, err := play(p)
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	return judge(p, takenUp, fresh)
}

// play brings the disruptions about. It returns the streams that began at the node that is cut off, and those
// that began at another one.
func play(p *rig2.Platform) (all, fresh []*rig2.Stream, err error) {
	if err := p.StartNodes(nodes); err != nil {
		return nil, nil, err
	}
	lone, other := p.Nodes[0], p.Nodes[1]
	front, err := p.NewFront(lone)
	if err != nil {
		return nil, nil, err
	}
	if err := p.AwaitOwners(2 * enginesOfVersion); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	begin := time.Now()
	if rig2.HasTrouble() {
		p.Record.Printf("%s is cut off from the store and the other nodes", lone.Name)
		lone.Cut(true)
	}
	time.Sleep(streamsAfter)
	p.Record.Printf("%d streams begin at %s, and %d at %s", streams, lone.Name, newStreams, other.Name)
	var wg sync.WaitGroup
	for i := range streams {
		s := &rig2.Stream{ID: fmt.Sprintf("s%d", i+1)}
		all = append(all, s)
		wg.Go(func() {
			s.Call(front.Address, rig2.Model, events, streamTimeout)
			if !s.Ended && len(s.Events) > 0 {
				s.Call(other.Callers(), rig2.Model, events, streamTimeout)
			}
		})
	}
	for i := range newStreams {
		s := &rig2.Stream{ID: fmt.Sprintf("n%d", i+1)}
		fresh = append(fresh, s)
		wg.Go(func() { s.Call(other.Callers(), rig2.Model, events, streamTimeout) })
	}
	time.Sleep(resetAfter)
	p.Record.Printf("half of the callers' connections to %s are reset; their callers take the streams up at %s", lone.Name, other.Name)
	front.Reset()
	time.Sleep(time.Until(begin.Add(cutTime)))
	lone.Cut(false)
	p.Record.Printf("the cut, if there was one, is over")
	wg.Wait()
	return all, fresh, nil
}

// judge compares the share of the streams that went on when they were taken up with that of the new ones.
func judge(p *rig2.Platform, all, fresh []*rig2.Stream) int {
	takenUp, wentOn, began, joined := 0, 0, 0, 0
	for _, s := range all {
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
	for _, s := range fresh {
		if len(s.Events) > 0 {
			began++
		}
		p.Record.Printf("%s: %s; events by version: %v", s.ID, strings.Join(s.Tries, ", then "), s.Builds())
	}
	p.RecordLog("cannot-resume")
	p.Record.Printf("of %d streams that were taken up %d went on, of %d new ones %d began; %d hold events of two versions", takenUp, wentOn, len(fresh), began, joined)
	fmt.Printf("taken up %d, went on %d, new %d, began %d\n", takenUp, wentOn, len(fresh), began)
	switch {
	case takenUp < leastTakenUp || began == 0:
		return rig2.NotRun
	case float64(wentOn)/float64(takenUp) < leastShare*float64(began)/float64(len(fresh)):
		return rig2.Broken
	}
	return rig2.Held
}
