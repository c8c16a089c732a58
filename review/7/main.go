// Command 7 cuts one node off while a newer software version of the engines comes into service, and lets
// callers take streams up at that node. See claim.txt.
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
	nodes, olderEngines, newerEngines = 3, 3, 3

	streams = 60
	events  = 60 // of a stream, one each eventTime
	// eventTime makes a stream last as long as one of a large review does.
	eventTime     = 50 * time.Millisecond
	streamTimeout = 6 * time.Second
	// allowedJoined is the number of streams that the rule allows.
	allowedJoined = 2
	// releaseAfter and streamsAfter count from the cut: until the newer engines register, and until the
	// streams begin, some of them at the newer engines. cutTime is how long the cut lasts.
	releaseAfter = 500 * time.Millisecond
	streamsAfter = 6500 * time.Millisecond
	resetAfter   = 1500 * time.Millisecond // from the first stream on
	cutTime      = 11 * time.Second
	settleTime   = 2 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	var engines []*standin.Replica
	for i := range olderEngines {
		engines = append(engines, rig2.NewEngine(i+1, "v1", eventTime))
	}
	p, err := rig2.Start(rig2.Options{Case: 7, Config: rig2.EngineConfig, Replicas: engines, Settings: rig2.MachineSettings, Cuttable: true})
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	defer p.Close()
	all, err := play(p)
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	return judge(p, all)
}

// play brings the disruptions about, and returns the streams.
func play(p *rig2.Platform) ([]*rig2.Stream, error) {
	if err := p.StartNodes(nodes); err != nil {
		return nil, err
	}
	lone, other := p.Nodes[0], p.Nodes[1]
	front, err := p.NewFront(other)
	if err != nil {
		return nil, err
	}
	if err := p.AwaitOwners(olderEngines); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	begin := time.Now()
	if rig2.HasTrouble() {
		p.Record.Printf("%s is cut off from the store and the other nodes", lone.Name)
		lone.Cut(true)
	}
	time.Sleep(releaseAfter)
	for i := range newerEngines {
		e := rig2.NewEngine(olderEngines+i+1, "v2", eventTime)
		if err := p.AddReplica(e); err != nil {
			return nil, err
		}
		p.Record.Printf("%s of version %s registers", e.Self.ID, e.Self.Build)
	}
	time.Sleep(time.Until(begin.Add(streamsAfter)))
	p.Record.Printf("%d streams begin at %s", streams, other.Name)
	all := make([]*rig2.Stream, streams)
	var wg sync.WaitGroup
	for i := range all {
		all[i] = &rig2.Stream{ID: fmt.Sprintf("s%d", i+1)}
		wg.Go(func() {
			all[i].Call(front.Address, rig2.Model, events, streamTimeout)
			if !all[i].Ended {
				all[i].Call(lone.Callers(), rig2.Model, events, streamTimeout)
			}
		})
	}
	time.Sleep(resetAfter)
	p.Record.Printf("half of the callers' connections to %s are reset; their callers take the streams up at %s", other.Name, lone.Name)
	front.Reset()
	time.Sleep(time.Until(begin.Add(cutTime)))
	lone.Cut(false)
	p.Record.Printf("the cut, if there was one, is over")
	wg.Wait()
	return all, nil
}

// judge counts the streams with events of two software versions.
func judge(p *rig2.Platform, all []*rig2.Stream) int {
	joined, takenUp, wentOn := 0, 0, 0
	for _, s := range all {
		builds := s.Builds()
		if len(builds) > 1 {
			joined++
		}
		if len(s.Tries) > 1 {
			takenUp++
			if s.Ended {
				wentOn++
			}
		}
		p.Record.Printf("%s: %s; events by version: %v", s.ID, strings.Join(s.Tries, ", then "), builds)
	}
	p.RecordLog("the software versions of a pool")
	p.Record.Printf("%d of %d streams were taken up, %d of these went on to their end; %d hold events of two versions", takenUp, len(all), wentOn, joined)
	fmt.Printf("taken up %d, went on %d, of two versions %d\n", takenUp, wentOn, joined)
	switch {
	case joined > allowedJoined:
		return rig2.Broken
	case takenUp <= allowedJoined:
		return rig2.NotRun
	}
	return rig2.Held
}
