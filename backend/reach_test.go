package backend

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reachFixture decides on a pool of servers with addresses from 0.
type reachFixture struct {
	Reach
	now     time.Time
	servers []*Server
}

func newReachFixture(n int) *reachFixture {
	f := &reachFixture{now: time.Unix(100, 0)}
	for i := range n {
		f.servers = append(f.servers, &Server{ID: "s" + strconv.Itoa(i), Address: strconv.Itoa(i)})
	}
	return f
}

func (f *reachFixture) pass(d time.Duration) { f.now = f.now.Add(d) }

func (f *reachFixture) fail(addresses ...int) {
	for _, a := range addresses {
		f.ObserveFailure(f.now, strconv.Itoa(a))
	}
	f.pass(reachValidFor)
}

func (f *reachFixture) answer(address int) {
	f.ObserveAnswer(f.now, strconv.Itoa(address))
	f.pass(reachValidFor)
}

func (f *reachFixture) isCutOff() bool {
	return f.IsCutOff(f.now, "pool", func() []*Server { return f.servers })
}

func TestReach(t *testing.T) {
	t.Run("several servers fail", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(9)
		is.True(!f.isCutOff())
		f.answer(1)
		f.fail(2, 3)
		is.True(!f.isCutOff())
		f.fail(2, 2) // the same one
		is.True(!f.isCutOff())
		f.fail(4)
		is.True(!f.isCutOff()) // 1 has just answered
		f.pass(minSilence)
		is.True(f.isCutOff())
		f.pass(time.Minute)
		is.True(f.isCutOff()) // until one answers
		f.answer(7)
		is.True(!f.isCutOff())
	})
	t.Run("one of the servers answers", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(9)
		for range 20 {
			f.fail(1, 2, 3, 4, 5)
			f.answer(6)
			is.True(!f.isCutOff())
		}
	})
	t.Run("servers fail one after the other", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(2)
		f.fail(0)
		f.answer(1)
		f.fail(1)
		f.pass(minSilence)
		is.True(!f.isCutOff()) // 0 has not failed since
		f.fail(0)
		is.True(f.isCutOff())
	})
	t.Run("failures are long ago", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(9)
		f.fail(1, 2)
		f.pass(unreachableTTL)
		f.fail(3)
		f.pass(minSilence)
		is.True(!f.isCutOff())
	})
	t.Run("requests go unanswered", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(9)
		tried := func() int { return len(f.ToTry(f.now, "pool", f.servers)) }
		f.answer(0)
		f.pass(minSilence)
		is.Equal(tried(), 0)
		for i := range minUnreachable {
			f.ObserveNoAnswer(f.now, strconv.Itoa(i))
			f.pass(reachValidFor)
			is.Equal(tried(), minUnreachable) // those that are tried may not have been asked before
		}
		is.True(!f.isCutOff()) // the servers may be busy
		f.fail(5)
		is.True(f.isCutOff())
		is.Equal(tried(), 1)
	})
	t.Run("one server goes unanswered", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(9)
		f.ObserveNoAnswer(f.now, "0")
		for _, s := range f.ToTry(f.now, "pool", f.servers) {
			f.ObserveFailure(f.now, s.Address)
		}
		f.pass(reachValidFor)
		is.True(f.isCutOff())
	})
	t.Run("few servers", func(t *testing.T) {
		is := is.New(t)
		f := newReachFixture(2)
		f.fail(0)
		is.True(!f.isCutOff())
		f.fail(1)
		is.True(f.isCutOff())
		f.servers = nil // the pool has lost them
		f.pass(reachValidFor)
		is.True(!f.isCutOff())
	})
}
