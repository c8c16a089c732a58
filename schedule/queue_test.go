package schedule

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

// request returns a request with a target.
func request(priority int, account string, target time.Duration) *Request {
	return &Request{Priority: priority, Account: account, ArrivedAt: t0, Target: t0.Add(target), Work: 400 * time.Millisecond}
}

// Guards against requests that go before those that a delay costs more.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range 100 { // the hot account has used most of the last seconds, but not of the minutes before
		q.Grant(t0.Add(-2*time.Minute), request(0, fmt.Sprint("account", i%4), time.Second))
	}
	for range 40 {
		q.Grant(t0, request(0, "hot", time.Second))
	}
	chat, notes := request(0, "account1", 500*time.Millisecond), request(2, "account1", 2*time.Second)
	begun := request(2, "account1", time.Second)
	begun.HasBegun = true
	promoted := request(2, "account1", time.Second)
	promoted.Promoted = true
	earlier := request(0, "account1", 400*time.Millisecond)
	lateChat := request(0, "account1", -time.Millisecond)
	summary, large := request(1, "account1", 800*time.Millisecond), request(1, "account1", 801*time.Millisecond)
	large.Start = 1500 * time.Millisecond // longer than its target
	lateNotes := request(2, "account1", -time.Millisecond)
	hot := request(0, "hot", 500*time.Millisecond)
	want := []*Request{begun, promoted, earlier, chat, summary, large, lateChat, notes, hot, lateNotes}
	got := slices.Clone(want)
	slices.Reverse(got)
	key := func(r *Request) float64 { return q.Key(t0, r, q.Level(t0, r)) }
	slices.SortFunc(got, func(a, b *Request) int { return cmp.Compare(key(a), key(b)) })
	for i := range want {
		is.Equal(*got[i], *want[i])
	}
}

// playOverload plays twice the capacity of a place that grants one request in 20 ms. priority returns
// the priority of the nth request, which is given up 4 s after its target.
func playOverload(priority func(n int) int) (offered, granted map[int]int, longest map[int]time.Duration) {
	const (
		each   = 20 * time.Millisecond
		length = time.Minute
		tick   = 100 * time.Millisecond
	)
	var q Queue
	var waiting []*Request
	offered, granted, longest = map[int]int{}, map[int]int{}, map[int]time.Duration{}
	for n := range int(2 * length / each) {
		now := t0.Add(time.Duration(n) * each / 2)
		p := priority(n)
		r := &Request{Priority: p, ArrivedAt: now, Target: now.Add(time.Duration(1+p) * 500 * time.Millisecond)}
		q.Offer(now, r)
		offered[p]++
		waiting = append(waiting, r)
		if now.Sub(t0)%tick == 0 {
			waiting = slices.DeleteFunc(waiting, func(r *Request) bool { return now.After(r.Target.Add(4 * time.Second)) })
			q.Promote(now, waiting)
		}
		if n%2 > 0 {
			continue
		}
		best := slices.MinFunc(waiting, func(a, b *Request) int {
			return cmp.Compare(q.Key(now, a, q.Level(now, a)), q.Key(now, b, q.Level(now, b)))
		})
		waiting = slices.DeleteFunc(waiting, func(r *Request) bool { return r == best })
		q.Grant(now, best)
		granted[best.Priority]++
		longest[best.Priority] = max(longest[best.Priority], now.Sub(best.ArrivedAt))
	}
	return offered, granted, longest
}

// Guards against a queue that serves only the most urgent requests while there are more of them than
// it can serve.
func TestNoPriorityStarves(t *testing.T) {
	is := is.New(t)
	offered, granted, _ := playOverload(func(n int) int {
		switch n % 20 {
		case 3, 11, 17:
			return 2
		case 7:
			return 9
		}
		return 0
	})
	all := float64(granted[0]+granted[2]+granted[9]) / float64(offered[0]+offered[2]+offered[9])
	for p, n := range offered {
		part := float64(granted[p]) / float64(n)
		t.Logf("priority %d: %.2f of %d granted, of all %.2f", p, part, n, all)
		is.True(part >= all/4)
	}
	is.True(granted[0]*offered[2] > granted[2]*offered[0])
}

// Guards against a request of a rare, less urgent kind that waits without a bound.
func TestWaitOfRareRequestsIsBounded(t *testing.T) {
	is := is.New(t)
	offered, granted, longest := playOverload(func(n int) int {
		if n%400 == 50 {
			return 2
		}
		return 0
	})
	patience := 750 * time.Millisecond
	t.Logf("%d of %d granted, longest wait %v", granted[2], offered[2], longest[2])
	is.True(granted[2] >= offered[2]-2) // the last ones wait
	is.True(longest[2] <= 3*patience)
}

// Guards against accounts that push others out, and against accounts that count as hot although
// they are large all the time.
func TestAccountsAboveTheirShare(t *testing.T) {
	is := is.New(t)
	var q Queue
	now := t0
	// large uses half of the work all the time; small and hot share the rest with eight others.
	play := func(d time.Duration, hotFactor int) {
		for end := now.Add(d); now.Before(end); now = now.Add(200 * time.Millisecond) {
			for range 10 {
				q.Grant(now, request(0, "large", time.Second))
			}
			for i := range 8 {
				q.Grant(now, request(0, fmt.Sprint("account", i), time.Second))
			}
			q.Grant(now, request(0, "small", time.Second))
			for range hotFactor {
				q.Grant(now, request(0, "hot", time.Second))
			}
		}
	}
	play(20*time.Second, 1)
	for _, name := range []string{"large", "small", "hot", "unknown", ""} {
		is.True(!q.IsOverShare(now, name))
	}
	play(3*time.Second, 7)
	is.True(q.IsOverShare(now, "hot"))
	is.True(!q.IsOverShare(now, "large"))
	is.True(!q.IsOverShare(now, "small"))
	play(30*time.Second, 7)
	is.True(q.IsOverShare(now, "hot")) // a burst of half a minute is not usual
	play(20*time.Second, 1)
	is.True(!q.IsOverShare(now, "hot"))
}

// Guards against shares that do not add up to what is admitted, or that admit less of more urgent
// work.
func TestShares(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			is.New(t).NoErr(f.Value.Set(value))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		offered := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 2*Priorities).Draw(t, "offered")
		admitted := rapid.Float64Range(0, 1).Draw(t, "admitted")
		shares := Shares(offered, admitted)
		sum, total, last := 0.0, 0.0, 1.0
		for i, o := range offered {
			if shares[i] < admitted/4-1e-9 || shares[i] > 1+1e-9 {
				t.Fatalf("a share of %v of %v", shares[i], admitted)
			}
			if o > 0 && shares[i] > last+1e-9 {
				t.Fatalf("%v after %v", shares[i], last)
			}
			if o > 0 {
				last = shares[i]
			}
			sum += o * shares[i]
			total += o
		}
		if math.Abs(sum-admitted*total) > 1e-6 {
			t.Fatalf("%v of %v is %v", admitted, total, sum)
		}
	})
}
