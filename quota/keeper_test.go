package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	testRule  = Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}
	testLimit = Limit{PerSecond: 435_486, Burst: 435_486}
	epoch     = time.Unix(1000, 0)
)

func newTestKeeper(l Limit, nodes int) (*Keeper, []string) {
	k := NewKeeper(testRule, "term", "n0", l, l.Burst, epoch, epoch)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	k.SetNodes(epoch, names)
	return k, names
}

// Guards against own shares of silent nodes that the keeper grants to others, and against a reserve that does not
// come back.
func TestKeeperReservesSharesOfSilentNodes(t *testing.T) {
	is := is.New(t)
	k, names := newTestKeeper(testLimit, 10)
	used, now := 0.0, epoch
	for ; now.Sub(epoch) < 10*time.Second; now = now.Add(50 * time.Millisecond) {
		for _, name := range names[:6] { // four nodes are silent
			used += k.Ask(now, name, AskFor{Needed: 1000, Extra: 1e6, Term: "term"}).Amount
		}
	}
	is.True(used <= testLimit.Burst+0.83*testLimit.PerSecond*10) // four twentieths are reserved, but for the contact time
	is.Equal(len(k.Silent(now)), 4)
	before := k.worst.level
	for _, name := range names[6:] {
		k.Promised(now, name, now.Add(SharePromise))
	}
	is.True(k.worst.level > before)
	is.True(k.worst.level <= k.best.level)
}

// Guards against a node that waits while others are given what was promised to it.
func TestPromisedPartIsGrantedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, names := newTestKeeper(Limit{PerSecond: 1000, Burst: 1000}, 8)
		now := epoch
		due := make(map[string]time.Time)
		needed := make(map[string]float64)
		granted := 0.0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "node")
			if at, ok := due[name]; ok && now.Before(at) {
				continue // it refuses without asking
			}
			if at, ok := due[name]; !ok || now.Sub(at) > promiseGrace {
				needed[name] = rapid.Float64Range(1, 300).Draw(t, "cost")
			}
			a := k.Ask(now, name, AskFor{Needed: needed[name], Term: "term"})
			if at, ok := due[name]; ok && now.Sub(at) <= promiseGrace && a.Amount < needed[name] {
				t.Fatalf("%s came back %v after the stated time and was refused", name, now.Sub(at))
			}
			delete(due, name)
			if a.Amount == 0 {
				due[name] = now.Add(a.RetryAfter)
			}
			granted += a.Amount
		}
		if most := 1000 + 1000*now.Sub(epoch).Seconds(); granted > most+1 {
			t.Fatalf("granted %v of %v", granted, most)
		}
	})
}

// BenchmarkAsk measures a decision with asks of 75 nodes for more than the quota.
func BenchmarkAsk(b *testing.B) {
	k, names := newTestKeeper(testLimit, 75)
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(4 * time.Millisecond)
		k.Ask(now, names[i%75], AskFor{Needed: 800, Extra: 5000, Term: "term"})
	}
}

// Guards against a keeper that loses its majority two seconds after the first request of an account that
// few nodes have requests of, as it asked the others only when they no longer counted: for five seconds
// it granted nothing then.
func TestKeeperKeepsItsMajority(t *testing.T) {
	is := is.New(t)
	k, _ := newTestKeeper(Limit{PerSecond: 29_000, Burst: 68_866}, 75)
	const answerTime = 70 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(answerTime) {
		asked := k.Silent(now)
		is.True(!k.Ask(now, "n1", AskFor{Needed: 700}).IsWaiting)
		for _, name := range asked {
			k.Present(now.Add(answerTime), name)
			k.Promised(now.Add(answerTime), name, now.Add(SharePromise))
		}
	}
}
