// Command 6 cuts one node off while a newer software version of the engines comes into service, and lets
// callers take streams up at that node. See claim.txt.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/review/rig2"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
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
	ownerTime    = 20 * time.Second
)

const config = `{"version": 1, "routes": [
 {"name": "chat", "host": "a.example", "prefix": "/chat/", "type": "stream", "timeout_ms": 6000, "target_latency_ms": 500, "gap_aim_ms": 250, "priority": 0, "service": "engines", "max_attempts": 2, "session_affinity": true, "resumable": true}],
 "services": [{"name": "engines", "health_path": "/health", "max_connections": 360,
  "engine": {"slots": 64, "kv_capacity": 250000, "adapter_slots": 18, "stride": 5, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.5}]}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}`

const settings = "limits: {memory_mb: 284, max_fds: 4100, cpu_share: 0.4, cpu_cores: 1}\n"

func newEngine(i int, build string) *standin.Replica {
	return &standin.Replica{
		Self:  backend.Server{ID: fmt.Sprintf("engine-%d", i), Pool: "engines", MaxRequests: 64, Build: build},
		Model: "base", AdapterSlots: 18, AdapterLoadTime: 250 * time.Millisecond, ModelLoadTime: 500 * time.Millisecond,
		PrefillTime: 26 * time.Microsecond, EventTime: eventTime, ReportLag: 300 * time.Millisecond, QueueSize: 16,
	}
}

func main() { os.Exit(run()) }

func run() int {
	var engines []*standin.Replica
	for i := range olderEngines {
		engines = append(engines, newEngine(i+1, "v1"))
	}
	p, err := rig2.Start(rig2.Options{Case: 6, Config: config, Replicas: engines, Settings: settings, Cuttable: true})
	if err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	defer p.Close()
	if err := p.StartNodes(nodes); err != nil {
		fmt.Println(err)
		return rig2.NotRun
	}
	lone, other := p.Nodes[0], p.Nodes[1]
	front, err := p.NewFront(other)
	if err != nil || !awaitOwners(p) {
		fmt.Println("not every engine has an owner", err)
		return rig2.NotRun
	}
	time.Sleep(settleTime)
	begin := time.Now()
	if rig2.HasTrouble() {
		p.Record.Printf("%s is cut off from the store and the other nodes", lone.Name)
		lone.Cut(true)
	}
	time.Sleep(releaseAfter)
	for i := range newerEngines {
		e := newEngine(olderEngines+i+1, "v2")
		engines = append(engines, e)
		if err := p.AddReplica(e); err != nil {
			fmt.Println(err)
			return rig2.NotRun
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
			all[i].Call(front.Address, "base", events, streamTimeout)
			if !all[i].Ended {
				all[i].Call(lone.Callers(), "base", events, streamTimeout)
			}
		})
	}
	time.Sleep(resetAfter)
	p.Record.Printf("half of the callers' connections to %s are reset; their callers take the streams up at %s", other.Name, lone.Name)
	front.Reset()
	time.Sleep(time.Until(begin.Add(cutTime)))
	lone.Cut(false)
	p.Record.Printf("the cut is over")
	wg.Wait()
	return judge(p, all)
}

// judge counts the streams with events of two software versions.
func judge(p *rig2.Platform, all []*rig2.Stream) int {
	joined, takenUp, wentOn := 0, 0, 0
	for _, s := range all {
		builds := make(map[string]int)
		for _, e := range s.Events {
			_, build, _ := strings.Cut(e.Data, " by ")
			builds[build]++
		}
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
	for _, b := range slices.Sorted(maps.Keys(logged(p))) {
		p.Record.Printf("%s", b)
	}
	p.Record.Printf("%d of %d streams were taken up, %d of these went on to their end; %d hold events of two versions", takenUp, len(all), wentOn, joined)
	fmt.Printf("taken up %d, went on %d, of two versions %d\n", takenUp, wentOn, joined)
	switch {
	case takenUp <= allowedJoined:
		return rig2.NotRun
	case joined > allowedJoined:
		return rig2.Broken
	}
	return rig2.Held
}

// logged returns what the nodes logged of the software versions.
func logged(p *rig2.Platform) map[string]bool {
	lines := make(map[string]bool)
	for _, n := range p.Nodes {
		for line := range strings.Lines(n.Log()) {
			if strings.Contains(line, "the software versions of a pool") {
				lines[n.Name+": "+strings.TrimSpace(line)] = true
			}
		}
	}
	return lines
}

// awaitOwners waits until each engine has an owner.
func awaitOwners(p *rig2.Platform) bool {
	for end := time.Now().Add(ownerTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		owned := 0
		for _, row := range p.Store.Rows(table.OwnerPrefix) {
			if o, err := table.DecodeOwner(row); err == nil && o.Node != "" {
				owned++
			}
		}
		if owned >= olderEngines {
			return true
		}
	}
	return false
}
