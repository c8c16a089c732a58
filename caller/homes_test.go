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
	coldLoad = 250 * time.Millisecond // an adapter that the engine never held
	warmLoad = 25 * time.Millisecond  // one that it held before
	runTime  = 400 * time.Millisecond
	shortAim = 500 * time.Millisecond
)

// owner plays the owner of one engine, whose loads always end.
type owner struct {
	mu      sync.Mutex
	sched   *engine.Scheduler
	waiters map[string]chan engine.Action
	held    map[string]bool
	seen    map[string]bool
	loads   int
	silent  bool // it has lost the engine
}

func newOwner(slots int) *owner {
	return &owner{
		sched: engine.NewScheduler(engine.SchedulerConfig{
			Slots: slots, BatchSize: 64, MaxLoads: 4, ServesBase: true, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5 * time.Millisecond,
		}),
		waiters: map[string]chan engine.Action{}, held: map[string]bool{}, seen: map[string]bool{},
	}
}

func (o *owner) ask(ctx context.Context, w engine.Work) (Grant, error) {
	ch := make(chan engine.Action, 1)
	o.mu.Lock()
	if o.silent {
		o.mu.Unlock()
		return Grant{}, &Refusal{Reason: engine.Moved}
	}
	o.waiters[w.ID] = ch
	o.apply(o.sched.Submit(time.Now(), w))
	o.mu.Unlock()
	select {
	case act := <-ch:
		if act.Kind == engine.Grant {
			return Grant{ID: w.ID}, nil
		}
		return Grant{}, &Refusal{Reason: act.Reason, RetryAfter: act.RetryAfter, QueueWait: act.Wait}
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		o.apply(o.sched.Cancel(time.Now(), w.ID))
		o.apply(o.sched.Release(time.Now(), w.ID, false))
		return Grant{}, ctx.Err()
	}
}

func (o *owner) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(o.sched.Release(time.Now(), id, false))
}

func (o *owner) apply(acts []engine.Action) {
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
		delete(o.held, load.Victim)
		took := coldLoad
		if o.seen[load.Adapter] {
			took = warmLoad
		}
		o.seen[load.Adapter] = true
		time.AfterFunc(took, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.held[load.Adapter] = true
			o.apply(o.sched.FinishLoad(time.Now(), engine.LoadResult{Adapter: load.Adapter, Victim: load.Victim, OK: true}))
		})
	}
}

func (o *owner) holds(adapter string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held[adapter]
}

// fleet is a set of owners, and a search over them.
type fleet struct {
	owners map[string]*owner
	names  []string
	search *Acquirer
}

func newFleet(engines, slots int) *fleet {
	f := &fleet{owners: map[string]*owner{}}
	for i := range engines {
		name := fmt.Sprint("e", i)
		f.names = append(f.names, name)
		f.owners[name] = newOwner(slots)
	}
	f.search = &Acquirer{
		Router: engine.NewRouter(engine.RouterConfig{}), Mu: new(sync.Mutex), SpendRetry: func() bool { return false },
		RequestGrant: func(ctx context.Context, name string, w engine.Work) (Grant, error) {
			g, err := f.owners[name].ask(ctx, w)
			g.Engine = name
			return g, err
		},
		HoldsAdapter: func(name, adapter string) bool { return f.owners[name].holds(adapter) },
		Release:      func(g Grant) { f.owners[g.Engine].release(g.ID) },
	}
	return f
}

func (f *fleet) acquire(id, adapter string) (Grant, error) {
	now := time.Now()
	return f.search.Acquire(context.Background(), GrantRequest{Engines: f.names, Work: engine.Work{
		ID: id, Adapter: adapter, Short: true, ExpectedTokens: 70, PromptTokens: 646,
		Deadline: now.Add(6 * time.Second), FirstTokenDeadline: now.Add(2 * time.Second), FirstTokenTarget: now.Add(shortAim),
	}})
}

// play offers requests at a rate for a time, for adapters of the given skew, and
// returns how many there were and how many were granted within the aim.
func (f *fleet) play(rate int, length time.Duration, adapters int, skew float64) (asked, inAim int) {
	rng := rand.New(rand.NewPCG(1, 2))
	weights := make([]float64, adapters)
	total := 0.0
	for i := range weights {
		total += math.Pow(float64(i+1), -skew)
		weights[i] = total
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(length); time.Now().Before(end); asked++ {
		x, i := rng.Float64()*total, 0
		for weights[i] < x {
			i++
		}
		id, adapter := fmt.Sprint("r", asked), fmt.Sprint("m/a", i)
		wg.Go(func() {
			start := time.Now()
			g, err := f.acquire(id, adapter)
			if err != nil {
				return
			}
			if time.Since(start) <= shortAim {
				mu.Lock()
				inAim++
				mu.Unlock()
			}
			time.Sleep(runTime)
			f.search.Release(g)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	wg.Wait()
	return asked, inAim
}

func (f *fleet) loads() (n int) {
	for _, o := range f.owners {
		n += o.loads
	}
	return n
}

// A morning's load on nine engines of 18 slots and 3,000 adapters: 95 in 100
// callers get their engine within the aim, and an adapter is loaded little more
// often than a cache of that size must.
func TestHomesServeManyRareAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 18)
		asked, inAim := f.play(185, 20*time.Second, 3000, 1.2)
		t.Logf("%d requests, %d within the aim, %d loads", asked, inAim, f.loads())
		is.True(inAim*100 >= asked*95)
		is.True(f.loads()*100 <= asked*30)
	})
}

// One adapter that gets more than one engine can read is copied to its other
// homes, and to no more.
func TestHotAdapterIsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 18)
		asked, inAim := f.play(120, 10*time.Second, 1, 1)
		copies := 0
		for _, o := range f.owners {
			if o.holds("m/a0") {
				copies++
			}
		}
		t.Logf("%d requests, %d within the aim, %d copies", asked, inAim, copies)
		is.Equal(copies, homes)
		is.True(inAim*100 >= asked*95)
	})
}

// While an owner is silent, what its engine holds is still used, and what it
// does not hold is loaded by the next home.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 4)
		g, err := f.acquire("r1", "m/a")
		is.NoErr(err)
		f.search.Release(g)
		f.owners[g.Engine].silent = true
		direct, err := f.acquire("r2", "m/a")
		is.NoErr(err)
		is.Equal(direct, Grant{Engine: g.Engine}) // without a grant
		for i := range 12 {
			other, err := f.acquire(fmt.Sprint("x", i), fmt.Sprint("m/b", i))
			is.NoErr(err)
			is.True(other.Engine != g.Engine)
			f.search.Release(other)
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
