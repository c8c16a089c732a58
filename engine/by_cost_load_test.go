package engine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestKind is a kind of request of a played load.
type requestKind struct {
	name      string
	priority  int
	perSecond float64 // to each engine
	target    time.Duration
	deadline  time.Duration
	prompt    int
	largeTo   int // the largest tenth have up to this many prompt tokens
	output    int
	// worth of a response, and of one that is late. The product does not know them.
	worth, late float64
}

// firstEventTimeout is as in package route.
func (k *requestKind) firstEventTimeout() time.Duration { return max(2*time.Second, 4*k.target) }

// lakeshore is the load of one engine at Lakeshore.
var lakeshore = []requestKind{
	{name: "desk-chat", priority: 0, perSecond: 613.0 / 56, target: 500 * time.Millisecond, deadline: 4 * time.Second, prompt: 646, output: 70, worth: 2.3, late: 0.46},
	{name: "account-summary", priority: 1, perSecond: 19.6 / 56, target: 800 * time.Millisecond, deadline: 4 * time.Second, prompt: 9190, largeTo: 57_000, output: 90, worth: 2.4, late: 1.2},
	{name: "renewal-notes", priority: 2, perSecond: 117.0 / 56, target: 2 * time.Second, deadline: 8 * time.Second, prompt: 646, output: 110, worth: 0.61, late: 0.46},
}

// load is a load that is played on schedulers, from a time on beside the usual one.
type load struct {
	engines  int
	gone     int                // engines that are gone from start on
	factor   map[string]float64 // of the rate of a kind from start on
	hot      float64            // factor of the rate of account 3 from start on; 0 means 1
	atOnce   bool               // refused requests come back at once, whatever they are told
	accounts int
	start    time.Duration
	end      time.Duration
}

// outcome counts what callers of a kind, or of an account, got for the requests from start on.
type outcome struct{ offered, served, onTime, largeOffered, largeServed int }

func (o outcome) servedPart() float64 { return float64(o.served) / max(1, float64(o.offered)) }
func (o outcome) onTimePart() float64 { return float64(o.onTime) / max(1, float64(o.offered)) }
func (o outcome) largePart() float64 {
	return float64(o.largeServed) / max(1, float64(o.largeOffered))
}

func (o outcome) earned(k requestKind) float64 {
	return (float64(o.onTime)*k.worth + float64(o.served-o.onTime)*k.late) / (k.worth * max(1, float64(o.offered)))
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// played is a load in progress.
type played struct {
	load
	now       time.Time
	events    events
	owners    []*playedEngine
	byKind    map[string]*outcome
	byAccount map[string]*outcome
	byAdapter map[string]*outcome      // by popularity
	longest   map[string]time.Duration // wait of granted work, by kind
	adapters  []float64                // cumulated popularity
	ids       int
}

// playedEngine stands for an engine and its owner. It prefills one prompt at a time, and loads an
// adapter in 288 ms, or a tenth of that if it had the adapter before.
type playedEngine struct {
	p           *played
	sched       *Scheduler
	isGone      bool
	prefillEnd  time.Time
	had         map[string]bool
	granted     map[string]func()
	refused     map[string]func(Action)
	mostTokens  int
	tokensInUse int
}

type playedRequest struct {
	kind     *requestKind
	account  string
	adapter  int
	began    time.Time
	prompt   int
	output   int
	isLarge  bool
	attempts int
}

// play plays a load and returns it.
func play(l load, byCost bool) *played {
	p := &played{load: l, now: t0, byKind: map[string]*outcome{}, byAccount: map[string]*outcome{}, byAdapter: map[string]*outcome{}, longest: map[string]time.Duration{}}
	total := 0.0
	for i := range 10_000 {
		total += math.Pow(float64(i+1), -1.2)
		p.adapters = append(p.adapters, total)
	}
	for range l.engines {
		e := &playedEngine{p: p, had: map[string]bool{}, granted: map[string]func(){}, refused: map[string]func(Action){}}
		e.sched = NewScheduler(SchedulerConfig{
			Slots: 8, BatchSize: 16, MaxLoads: 4, ServesBase: true, SerialPrefill: true, PrefillSpeed: 200, TokenTime: 5230 * time.Microsecond,
			ByCost: byCost, KVCapacity: 209_682,
		})
		p.owners = append(p.owners, e)
	}
	for i := range lakeshore {
		for a := range l.accounts {
			p.arrive(rand.New(rand.NewPCG(uint64(i), uint64(a))), &lakeshore[i], a)
		}
	}
	p.after(l.start, func() {
		for _, e := range p.owners[:l.gone] {
			e.isGone = true
			e.apply(e.sched.SetMode(p.now, Mode{Draining: true}))
		}
	})
	p.after(100*time.Millisecond, p.tick)
	for len(p.events) > 0 && p.now.Sub(t0) < l.end+10*time.Second {
		ev := heap.Pop(&p.events).(event)
		p.now = ev.at
		ev.do()
	}
	return p
}

func (p *played) after(d time.Duration, do func()) { heap.Push(&p.events, event{p.now.Add(d), do}) }

func (p *played) tick() {
	for _, e := range p.owners {
		e.apply(e.sched.Tick(p.now))
	}
	p.after(100*time.Millisecond, p.tick)
}

// arrive lets the next request of a kind and account arrive. The accounts differ in size.
func (p *played) arrive(rng *rand.Rand, k *requestKind, account int) {
	size := 1 / float64(account+1)
	sum := 0.0
	for i := range p.accounts {
		sum += 1 / float64(i+1)
	}
	rate := k.perSecond * float64(p.engines) * size / sum
	if p.now.Sub(t0) >= p.start {
		if f := p.factor[k.name]; f > 0 {
			rate *= f
		}
		if account == 3 && p.hot > 0 {
			rate *= p.hot
		}
	}
	wait := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	if before := p.now.Sub(t0); before < p.start && before+wait > p.start {
		p.after(p.start-before, func() { p.arrive(rng, k, account) }) // the rate changes
		return
	}
	p.after(wait, func() {
		if p.now.Sub(t0) < p.end {
			p.arrive(rng, k, account)
			p.send(p.newRequest(rng, k, account))
		}
	})
}

func (p *played) newRequest(rng *rand.Rand, k *requestKind, account int) *playedRequest {
	i, _ := slices.BinarySearch(p.adapters, rng.Float64()*p.adapters[len(p.adapters)-1])
	r := &playedRequest{kind: k, account: fmt.Sprint("account", account), adapter: i, began: p.now, prompt: k.prompt}
	r.output = max(1, int(float64(k.output)*math.Exp(0.8*rng.NormFloat64())))
	if r.isLarge = k.largeTo > 0 && rng.Float64() < 0.1; r.isLarge {
		r.prompt += int(rng.Float64() * float64(k.largeTo-k.prompt))
	}
	p.count(r, func(o *outcome) {
		o.offered++
		if r.isLarge {
			o.largeOffered++
		}
	})
	return r
}

func (p *played) count(r *playedRequest, add func(*outcome)) {
	if r.began.Sub(t0) < p.start {
		return
	}
	for m, key := range map[*map[string]*outcome]string{&p.byKind: r.kind.name, &p.byAccount: r.account, &p.byAdapter: popularity(r.adapter)} {
		if (*m)[key] == nil {
			(*m)[key] = &outcome{}
		}
		add((*m)[key])
	}
}

// popularity tells how popular an adapter is, from its rank.
func popularity(rank int) string {
	return fmt.Sprint("ranks from 10^", int(math.Log10(float64(rank+1))))
}

// send sends a request to one of the three engines of its adapter, as package caller does: to the
// first that can take it soon, and otherwise to the one with the shortest wait.
func (p *played) send(r *playedRequest) {
	var live []string
	for i, e := range p.owners {
		if !e.isGone {
			live = append(live, strconv.Itoa(i))
		}
	}
	var preferred []*playedEngine
	for _, name := range Rendezvous(strconv.Itoa(r.adapter), live, nil, 3) {
		i, _ := strconv.Atoi(name)
		preferred = append(preferred, p.owners[i])
	}
	slices.SortStableFunc(preferred, func(a, b *playedEngine) int {
		return cmp.Compare(a.load(r), b.load(r))
	})
	r.attempts++
	var shortest *playedEngine
	var wait time.Duration
	for _, e := range preferred {
		act, refused := e.submit(r, 60*time.Millisecond+time.Duration(e.load(r))*1140*time.Millisecond)
		switch {
		case !refused:
			return
		case act.Reason != Overflow && act.Reason != Cold:
			p.refused(r, act)
			return
		case shortest == nil || act.Wait < wait:
			shortest, wait = e, act.Wait
		}
	}
	if act, refused := shortest.submit(r, 0); refused {
		p.refused(r, act)
	}
}

// refused lets the caller of a refused request come back, at most five times.
func (p *played) refused(r *playedRequest, act Action) {
	wait, left := act.RetryAfter, r.began.Add(r.kind.deadline).Sub(p.now)
	if p.atOnce {
		wait = 10 * time.Millisecond
	}
	if r.attempts < 6 && wait <= left/3 {
		p.after(wait, func() { p.send(r) })
	}
}

// load returns 0 if the engine has the adapter of a request loaded, and otherwise 1.
func (e *playedEngine) load(r *playedRequest) int {
	if a := e.sched.adapters[r.adapterName()]; a != nil && a.state == loaded {
		return 0
	}
	return 1
}

func (r *playedRequest) adapterName() string { return fmt.Sprint("m/a", r.adapter) }

// submit submits a request. If it is refused at once, it returns the refusal.
func (e *playedEngine) submit(r *playedRequest, maxWait time.Duration) (refusal Action, refused bool) {
	p := e.p
	p.ids++
	k, id, sent, atOnce := r.kind, fmt.Sprint("r", p.ids), p.now, true
	w := Work{
		ID: id, Adapter: r.adapterName(), Priority: k.priority, Account: r.account, Short: r.prompt < 2048, MaxWait: maxWait,
		ExpectedTokens: k.output, PromptTokens: r.prompt, Deadline: r.began.Add(k.deadline),
		FirstTokenDeadline: r.began.Add(k.firstEventTimeout()), FirstTokenTarget: r.began.Add(k.target),
	}
	e.granted[id] = func() {
		p.longest[k.name] = max(p.longest[k.name], p.now.Sub(sent))
		e.tokensInUse += w.tokens()
		e.mostTokens = max(e.mostTokens, e.tokensInUse)
		prefill := time.Duration(float64(r.prompt) / 38.4 * float64(time.Millisecond))
		e.prefillEnd = latest(e.prefillEnd, p.now).Add(prefill)
		first, end := e.prefillEnd, e.prefillEnd.Add(time.Duration(r.output)*5230*time.Microsecond)
		if !first.After(w.FirstTokenDeadline) && !end.After(w.Deadline) {
			p.count(r, func(o *outcome) {
				o.served++
				if !first.After(w.FirstTokenTarget) {
					o.onTime++
				}
				if r.isLarge {
					o.largeServed++
				}
			})
		}
		p.after(end.Sub(p.now), func() {
			e.tokensInUse -= w.tokens()
			e.apply(e.sched.Release(p.now, id, false))
		})
	}
	e.refused[id] = func(act Action) {
		if refusal, refused = act, true; !atOnce {
			p.refused(r, act)
		}
	}
	e.apply(e.sched.Submit(p.now, w))
	atOnce = false
	return refusal, refused
}

func (e *playedEngine) apply(acts []Action) {
	slices.SortStableFunc(acts, func(a, b Action) int { // refused work is in the order of a map
		if a.Kind != Refuse || b.Kind != Refuse {
			return 0
		}
		return cmp.Compare(a.Work.ID, b.Work.ID)
	})
	for _, act := range acts {
		switch act.Kind {
		case Grant:
			e.granted[act.Work.ID]()
		case Refuse:
			e.refused[act.Work.ID](act)
		case RequestLoad:
			l, ok := e.sched.ApproveLoad(e.p.now)
			if !ok {
				continue
			}
			took := 288 * time.Millisecond
			if e.had[l.Adapter] {
				took /= 10
			}
			e.had[l.Adapter] = true
			e.p.after(took, func() {
				e.apply(e.sched.FinishLoad(e.p.now, LoadResult{Adapter: l.Adapter, Victim: l.Victim, OK: true}))
			})
		}
	}
}

// both plays a load with the former rule and by cost, and logs what callers get.
func both(t *testing.T, l load) (former, byCost *played) {
	t.Helper()
	former, byCost = play(l, false), play(l, true)
	var worthFormer, worthByCost, worth float64
	for _, k := range lakeshore {
		all := k.worth * float64(byCost.byKind[k.name].offered)
		worthFormer += former.byKind[k.name].earned(k) * all
		worthByCost += byCost.byKind[k.name].earned(k) * all
		worth += all
	}
	t.Logf("worth %.3f, by cost %.3f", worthFormer/worth, worthByCost/worth)
	for _, k := range lakeshore {
		a, b := former.byKind[k.name], byCost.byKind[k.name]
		t.Logf("%-16s served %.2f, by cost %.2f; on time %.2f, by cost %.2f; largest %.2f, by cost %.2f; longest wait %v, by cost %v (%d offered)", k.name,
			a.servedPart(), b.servedPart(), a.onTimePart(), b.onTimePart(), a.largePart(), b.largePart(),
			former.longest[k.name].Round(time.Millisecond), byCost.longest[k.name].Round(time.Millisecond), b.offered)
	}
	return former, byCost
}

// Guards against shortages that hit the most urgent requests first: their targets are short, so that a
// queue in the order of arrival makes them late and refuses them, while requests that can wait are
// all served.
func TestShortagesHitWhatCostsLeast(t *testing.T) {
	base := load{engines: 8, accounts: 16, start: 20 * time.Second, end: 60 * time.Second}
	for _, tt := range []struct {
		name   string
		change func(l *load)
	}{
		{"usual load", func(*load) {}},
		{"burst of a batch kind", func(l *load) { l.factor = map[string]float64{"renewal-notes": 8} }},
		{"hot account", func(l *load) { l.hot = 7 }},
		{"hot account, quarter of the engines gone", func(l *load) { l.hot, l.gone = 7, 2 }},
		{"quarter of the engines gone", func(l *load) { l.gone = 2 }},
		{"retries at once", func(l *load) { l.gone, l.atOnce = 2, true }},
		{"twice the load", func(l *load) {
			l.factor = map[string]float64{"desk-chat": 2, "account-summary": 2, "renewal-notes": 2}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := base
			tt.change(&l)
			former, byCost := both(t, l)
			all := outcome{}
			for _, o := range byCost.byKind {
				all.offered += o.offered
				all.served += o.served
			}
			desk, formerDesk := byCost.byKind["desk-chat"], former.byKind["desk-chat"]
			is.True(desk.onTimePart() > formerDesk.onTimePart())
			for i, k := range lakeshore {
				o := byCost.byKind[k.name]
				is.True(o.servedPart() >= all.servedPart()/4) // none starves
				is.True(byCost.longest[k.name] <= k.firstEventTimeout()+200*time.Millisecond)
				for _, lessUrgent := range lakeshore[i+1:] {
					other := byCost.byKind[lessUrgent.name]
					is.True(o.servedPart() >= other.servedPart()-0.05)
					is.True(o.earned(k) >= other.earned(lessUrgent)-0.15)
				}
				is.True(o.largePart() >= o.servedPart()/2 || o.largeOffered == 0)
			}
			for _, name := range slices.Sorted(maps.Keys(byCost.byAdapter)) {
				o, f := byCost.byAdapter[name], former.byAdapter[name]
				t.Logf("adapters of %s: served %.2f, by cost %.2f", name, f.servedPart(), o.servedPart())
				is.True(o.servedPart() >= all.servedPart()/4)
			}
			others, formerOthers := outcome{}, outcome{}
			for name, o := range byCost.byAccount {
				is.True(o.servedPart() >= all.servedPart()/4)
				if name != "account3" {
					others.offered, others.served, others.onTime = others.offered+o.offered, others.served+o.served, others.onTime+o.onTime
					f := former.byAccount[name]
					formerOthers.offered, formerOthers.served, formerOthers.onTime = formerOthers.offered+f.offered, formerOthers.served+f.served, formerOthers.onTime+f.onTime
				}
			}
			t.Logf("account3 served %.2f on time %.2f, by cost %.2f %.2f; others served %.2f, by cost %.2f; on time %.2f, by cost %.2f", former.byAccount["account3"].servedPart(), former.byAccount["account3"].onTimePart(), byCost.byAccount["account3"].servedPart(), byCost.byAccount["account3"].onTimePart(),
				formerOthers.servedPart(), others.servedPart(), formerOthers.onTimePart(), others.onTimePart())
			if l.hot > 0 {
				is.True(others.onTimePart() > formerOthers.onTimePart())
			}
			for _, e := range byCost.owners {
				is.True(float64(e.mostTokens) <= memoryShare*209_682)
			}
		})
	}
}
