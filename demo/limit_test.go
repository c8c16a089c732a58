package demo

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// A server that has named a limit for longer than healthyAfter may get one and a half times
// of it in limitWindow, and limitSlack requests more. The platform's pages state this.
const (
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// leastLimitUse is the part of what limited servers offer that must be used.
const leastLimitUse = 0.7

// Guards against servers that get more requests than the limit that they named to all nodes
// together, and against limited servers that are hardly used.
func TestServersGetNoMoreThanTheirLimits(t *testing.T) {
	for _, tt := range []struct {
		name             string
		engines, ledgers []string // limits by server; "" is none
	}{
		{"one engine and one plain server", []string{"3.6", "", ""}, []string{"4", ""}},
		{"one engine at 0.5 a second", []string{"0.5", "", ""}, []string{"0.5", ""}},
		{"all plain servers", []string{"", "", ""}, []string{"3.6", "6"}},
		{"all engines", []string{"3.6", "6", "4"}, []string{"", ""}},
		{"none at all", []string{"0", "", ""}, []string{"0", ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			playLimits(t, slices.Concat(tt.engines, tt.ledgers), leastLimitUse, func(*is.I, *platformTraffic) {})
		})
	}
}

// Guards against limits that are exceeded while the nodes that decide for servers change.
func TestServersGetNoMoreThanTheirLimitsWhileNodesChange(t *testing.T) {
	limits := []string{"3.6", "6", "", "4", "3.6"}
	for _, tt := range []struct {
		name   string
		change func(is *is.I, traffic *platformTraffic)
	}{
		{"a daemon stops", func(_ *is.I, traffic *platformTraffic) { traffic.stopDaemon(200) }},
		{"daemons join", func(is *is.I, traffic *platformTraffic) {
			for i := range 4 {
				is.NoErr(traffic.sys.startDaemon("joined-"+strconv.Itoa(i), traffic.sys.storeAddr, io.Discard))
				traffic.mu.Lock()
				traffic.callerAddrs = append(traffic.callerAddrs, traffic.sys.callerAddrs[len(traffic.sys.callerAddrs)-1])
				traffic.mu.Unlock()
				time.Sleep(2 * time.Second)
			}
		}},
		{"the store is lost", func(_ *is.I, traffic *platformTraffic) {
			traffic.sys.store.SetFault(standin.TableFault{Down: true})
			time.Sleep(10 * time.Second)
			traffic.sys.store.SetFault(standin.TableFault{})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			playLimits(t, limits, 0, tt.change)
		})
	}
}

// Guards against servers that get hardly any requests after they have ended their limits.
func TestServersAreUsedAfterTheirLimits(t *testing.T) {
	limits := []string{"", "", "", "2", "2"}
	playLimits(t, limits, 0, func(is *is.I, traffic *platformTraffic) {
		sys := traffic.sys
		for _, s := range sys.ledgers {
			s.SetFault(standin.ReplicaFault{})
		}
		time.Sleep(3 * time.Second)
		before := len(sys.ledgers[0].Record().Executions)
		time.Sleep(3 * time.Second)
		is.True(len(sys.ledgers[0].Record().Executions)-before >= 30) // it gets some 25 a second without a limit
	})
}

// playLimits plays load on servers with limits for 20 s, with a change 5 s after its begin.
func playLimits(t *testing.T, limits []string, leastUse float64, change func(is *is.I, traffic *platformTraffic)) {
	relaxed := is.NewRelaxed(t) // the change runs in a goroutine of its own
	playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
		const length = 20 * time.Second
		servers := slices.Concat(sys.replicas, sys.ledgers)
		traffic := newPlatformTraffic(sys, 5)
		traffic.run(200)
		start := time.Now()
		for i, s := range servers {
			s.SetFault(standin.ReplicaFault{Limit: limits[i]})
		}
		var load sync.WaitGroup
		load.Go(func() {
			time.Sleep(5 * time.Second)
			change(relaxed, traffic)
		})
		for range 2 {
			load.Go(func() {
				for time.Since(start) < length {
					traffic.run(50)
				}
			})
		}
		for i := 0; time.Since(start) < length; i++ {
			load.Go(func() {
				traffic.mu.Lock()
				address := traffic.callerAddrs[i%len(traffic.callerAddrs)]
				traffic.mu.Unlock()
				if _, err := sys.request(address, "status", "plain-"+strconv.Itoa(i)); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		load.Wait()
		end := time.Now()
		for i, s := range servers {
			if limits[i] == "" {
				continue
			}
			limit, err := strconv.ParseFloat(limits[i], 64)
			is.NoErr(err)
			checkLimit(is, s.Record().LimitedArrivals, limit, leastUse, start.Add(healthyAfter), end)
			s.SetFault(standin.ReplicaFault{})
		}
		traffic.collect()
		is.Equal(traffic.result.NotRunButRan, 0)
		is.Equal(traffic.result.RanTwice, 0)
	})
}

// Guards against engines whose limits are used up by commands instead of callers' requests.
func TestLimitsOfAllEnginesServeCallers(t *testing.T) {
	var served int
	limits := []string{"3.6", "6", "4", "", ""}
	playLimits(t, limits, leastLimitUse, func(_ *is.I, traffic *platformTraffic) {
		time.Sleep(time.Second)
		before := traffic.executionsOnEngines()
		time.Sleep(10 * time.Second)
		served = traffic.executionsOnEngines() - before
	})
	is.New(t).True(float64(served) >= leastLimitUse*10*(3.6+6+4))
}

// executionsOnEngines returns how many requests the engines have begun to execute.
func (t *platformTraffic) executionsOnEngines() (n int) {
	for _, r := range t.sys.replicas {
		for _, executions := range r.Record().Executions {
			n += executions
		}
	}
	return n
}

// checkLimit checks the arrivals at a server between two times against its limit.
func checkLimit(is *is.I, arrivals []time.Time, limit, leastUse float64, from, to time.Time) {
	is.Helper()
	is.True(standin.MostWithin(arrivals, from, limitWindow) <= int(1.5*limit*limitWindow.Seconds()+limitSlack)) // over the limit
	count := 0
	for _, at := range arrivals {
		if at.After(from) {
			count++
		}
	}
	is.True(float64(count) >= leastUse*limit*to.Sub(from).Seconds()) // hardly used
}
