package caller

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
)

const (
	storeLoadTime  = 250 * time.Millisecond // load of an adapter that the engine never held
	cachedLoadTime = 25 * time.Millisecond  // load of an adapter that the engine held before
	runTime        = 400 * time.Millisecond
	grantTarget    = 500 * time.Millisecond
)

// stubOwner stands for the owner of one engine. Its loads always succeed.
type stubOwner struct {
	mu           sync.Mutex
	sched        *engine.Scheduler
	waiters      map[string]chan engine.Action
	loaded       map[string]bool
	loadedBefore map[string]bool
	loads        int
	unreachable  bool // refuses all requests, as if the engine had no owner
}

func newStubOwner(slots, batch int) *stubOwner {
	return &stubOwner{
		sched: engine.NewScheduler(engine.SchedulerConfig{
			Slots: slots, BatchSize: batch, MaxLoads: 4, ServesBase: true, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond,
		}),
		waiters: map[string]chan engine.Action{}, loaded: map[string]bool{}, loadedBefore: map[string]bool{},
	}
}

func (o *stubOwner) requestGrant(ctx context.Context, w engine.Work) (Grant, error) {
	ch := make(chan engine.Action, 1)
	o.mu.Lock()
	if o.unreachable {
		o.mu.Unlock()
		return Grant{}, &Refusal{Reason: engine.NoOwner}
	}
	o.waiters[w.ID] = ch
	o.apply(o.sched.Submit(time.Now(), w))
	o.mu.Unlock()
	select {
	case act := <-ch:
		if act.Kind == engine.Grant {
			return Grant{ID: w.ID}, nil
		}
		return Grant{}, &Refusal{Reason: act.Reason, RetryAfter: act.RetryAfter, QueueWait: act.Wait, AdapterRequests: act.AdapterRequests}
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		o.apply(o.sched.Cancel(time.Now(), w.ID))
		o.apply(o.sched.Release(time.Now(), w.ID, false))
		return Grant{}, ctx.Err()
	}
}

func (o *stubOwner) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(o.sched.Release(time.Now(), id, false))
}

func (o *stubOwner) apply(acts []engine.Action) {
	for _, act := range acts {
		if act.Kind != engine.RequestLoad {
			o.waiters[act.Work.ID] <- act
			continue
		}
		load, ok := o.sched.ApproveLoad(time.Now())
		if !ok {
			continue
		}
		o.loads++
		delete(o.loaded, load.Victim)
		loadTime := storeLoadTime
		if o.loadedBefore[load.Adapter] {
			loadTime = cachedLoadTime
		}
		o.loadedBefore[load.Adapter] = true
		time.AfterFunc(loadTime, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.loaded[load.Adapter] = true
			o.apply(o.sched.FinishLoad(time.Now(), engine.LoadResult{Adapter: load.Adapter, Victim: load.Victim, OK: true}))
		})
	}
}

func (o *stubOwner) hasLoaded(adapter string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded[adapter]
}

// fleet is a set of engine owners with an acquirer that uses them.
type fleet struct {
	owners   map[string]*stubOwner
	names    []string
	acquirer *Acquirer
}

func newFleet(engines, slots int) *fleet { return newFleetOfBatch(engines, slots, 64) }

func newFleetOfBatch(engines, slots, batch int) *fleet {
	f := &fleet{owners: map[string]*stubOwner{}}
	for i := range engines {
		name := fmt.Sprint("e", i)
		f.names = append(f.names, name)
		f.owners[name] = newStubOwner(slots, batch)
	}
	f.acquirer = &Acquirer{
		Router: engine.NewRouter(engine.RouterConfig{}), Mu: new(sync.Mutex), SpendRetry: func() bool { return false },
		RequestGrant: func(ctx context.Context, name string, w engine.Work) (Grant, error) {
			g, err := f.owners[name].requestGrant(ctx, w)
			g.Engine = name
			return g, err
		},
		HasLoaded: func(name, adapter string) bool { return f.owners[name].hasLoaded(adapter) },
		Release:   func(g Grant) { f.owners[g.Engine].release(g.ID) },
	}
	return f
}

func (f *fleet) acquire(id, adapter string) (Grant, error) {
	now := time.Now()
	return f.acquirer.Acquire(context.Background(), GrantRequest{Engines: f.names, Work: engine.Work{
		ID: id, Adapter: adapter, Short: true, ExpectedTokens: 70, PromptTokens: 646,
		Deadline: now.Add(6 * time.Second), FirstTokenDeadline: now.Add(2 * time.Second), FirstTokenTarget: now.Add(grantTarget),
	}})
}

// runLoad sends requests at a rate for a duration, for adapters of Zipf
// popularity with the given skew. It returns the number of requests and of
// those granted within grantTarget.
func (f *fleet) runLoad(rate int, duration time.Duration, adapters int, skew float64) (sent, onTime int) {
	rng := rand.New(rand.NewPCG(1, 2))
	weights := make([]float64, adapters)
	total := 0.0
	for i := range weights {
		total += math.Pow(float64(i+1), -skew)
		weights[i] = total
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(duration); time.Now().Before(end); sent++ {
		x, i := rng.Float64()*total, 0
		for weights[i] < x {
			i++
		}
		id, adapter := fmt.Sprint("r", sent), fmt.Sprint("m/a", i)
		wg.Go(func() {
			start := time.Now()
			g, err := f.acquire(id, adapter)
			if err != nil {
				return
			}
			if time.Since(start) <= grantTarget {
				mu.Lock()
				onTime++
				mu.Unlock()
			}
			time.Sleep(runTime)
			f.acquirer.Release(g)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	wg.Wait()
	return sent, onTime
}

func (f *fleet) loads() (n int) {
	for _, o := range f.owners {
		n += o.loads
	}
	return n
}

// Under a typical morning load on nine engines of 18 slots with 3,000
// adapters, at least 95 in 100 requests are granted within the target. The
// number of loads is close to the misses of a cache of that size.
func TestPreferredEnginesServeManyRareAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 18)
		sent, onTime := f.runLoad(185, 20*time.Second, 3000, 1.2)
		t.Logf("%d requests, %d within the target, %d loads", sent, onTime, f.loads())
		is.True(onTime*100 >= sent*95)
		is.True(f.loads()*100 <= sent*30)
	})
}

// An adapter with more requests than one engine can prefill is copied to its
// other preferred engines, and to no more.
func TestFrequentAdapterIsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 18)
		sent, onTime := f.runLoad(120, 10*time.Second, 1, 1)
		copies := 0
		for _, o := range f.owners {
			if o.hasLoaded("m/a0") {
				copies++
			}
		}
		t.Logf("%d requests, %d within the target, %d copies", sent, onTime, copies)
		is.Equal(copies, preferredEngines)
		is.True(onTime*100 >= sent*95)
	})
}

// While an owner is unreachable, its engine still serves the adapters that it
// holds, and other adapters are loaded by the next preferred engine.
func TestUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 4)
		g, err := f.acquire("r1", "m/a")
		is.NoErr(err)
		f.acquirer.Release(g)
		f.owners[g.Engine].unreachable = true
		direct, err := f.acquire("r2", "m/a")
		is.NoErr(err)
		is.Equal(direct, Grant{Engine: g.Engine}) // sent without a grant
		for i := range 12 {
			other, err := f.acquire(fmt.Sprint("x", i), fmt.Sprint("m/b", i))
			is.NoErr(err)
			is.True(other.Engine != g.Engine)
			f.acquirer.Release(other)
		}
		is.Equal(f.owners[g.Engine].loads, 1)
	})
}

func TestNoEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(0, 1)
	_, err := f.acquire("r", "m/a")
	var r *Refusal
	is.True(err != nil)
	r, _ = err.(*Refusal)
	is.Equal(r.Reason, engine.NotLoaded)
	is.True(r.RetryAfter > 0)
}

// Guards against an owner that takes a stream for begun at its engine, which only loads a copy of the stream's adapter:
// when the stream is taken up, two owners would name different software versions.
func TestCopyOfAnAdapterBeginsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var granted []engine.Work
		a := &Acquirer{
			RequestGrant: func(_ context.Context, _ string, w engine.Work) (Grant, error) {
				granted = append(granted, w)
				return Grant{ID: w.ID}, nil
			},
			Release: func(Grant) {},
			Router:  engine.NewRouter(engine.RouterConfig{}), Mu: new(sync.Mutex),
		}
		a.loadCopies([]string{"e"}, 1, engine.Work{ID: "r", Adapter: "m/a", Stream: "key"})
		synctest.Wait()
		is.Equal(len(granted), 1)
		is.Equal(granted[0].Stream, "")
	})
}
