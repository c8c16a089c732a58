package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change of the order or of the refusals where they do not follow what they cost
// callers. The digest is of the actions of commit b9f4cd4, before there was another order.
func TestOrderByArrivalIsUnchanged(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := newLoadedScheduler(SchedulerConfig{Slots: 4, BatchSize: 6, MaxQueue: 40, MaxLoads: 2, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond}, "a0", "a1")
	now, digest := t0, sha256.New()
	running, loads, n := map[string]bool{}, []Action{}, 0
	var apply func(acts []Action)
	apply = func(acts []Action) {
		lines := describe(acts)
		for i, a := range acts {
			switch a.Kind {
			case Grant:
				running[a.Work.ID] = true
			case Refuse:
				lines[i] += fmt.Sprint(" ", a.Wait, a.RetryAfter)
			case RequestLoad:
				if l, ok := s.ApproveLoad(now); ok {
					loads = append(loads, l)
					fmt.Fprintln(digest, "load", l.Adapter, l.Victim)
				}
			}
		}
		slices.Sort(lines) // refusals of one moment have no order
		fmt.Fprintln(digest, now.Sub(t0), lines)
	}
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(12)) * time.Millisecond)
		switch rng.IntN(10) {
		case 0, 1, 2, 3:
			n++
			w := Work{
				ID: fmt.Sprint("r", n), Adapter: fmt.Sprint("a", rng.IntN(8)), Short: rng.IntN(4) > 0, Resumed: rng.IntN(20) == 0,
				Priority: rng.IntN(6), Account: fmt.Sprint("account", rng.IntN(5)), ExpectedTokens: 1 + rng.IntN(80), PromptTokens: rng.IntN(4000),
				Deadline: now.Add(time.Duration(1+rng.IntN(4)) * time.Second), FirstTokenTarget: now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond),
			}
			if rng.IntN(2) == 0 {
				w.MaxWait = time.Duration(rng.IntN(100)) * time.Millisecond
			}
			apply(s.Submit(now, w))
		case 4, 5, 6, 7:
			if ids := slices.Sorted(maps.Keys(running)); len(ids) > 0 {
				id := ids[rng.IntN(len(ids))]
				delete(running, id)
				apply(s.Release(now, id, rng.IntN(50) == 0))
			}
		case 8:
			if len(loads) > 0 {
				l := loads[0]
				loads = loads[1:]
				apply(s.FinishLoad(now, LoadResult{Adapter: l.Adapter, Victim: l.Victim, OK: rng.IntN(10) > 0}))
			}
		case 9:
			apply(s.Tick(now))
		}
	}
	is.New(t).Equal(hex.EncodeToString(digest.Sum(nil)), "ebc0fee7c5399eb46f9b3327a04e1d2a2923a790e32144fb8cfe9e59e7e5aa50")
}
