package memory

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Bodies that are stuck take what small requests need. The load: bodies of 4 MB that stop short, until
// no more fit, then requests of 32 KB.
func TestLargeBodiesLeaveRoomForSmallRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget(46 << 20) // of a VM with 184 MB
	large := 0
	for b.Hold(OfCaller).Grow(4 << 20) {
		large++
	}
	small := 0
	for b.Hold(OfCaller).Grow(32 << 10) {
		small++
	}
	control := 0
	for b.Hold(OfPeer).Grow(32 << 10) {
		control++
	}
	is.Equal(large, 8)
	is.True(small >= 46<<20/16*3/(32<<10))
	is.True(control >= 46<<20/16/(32<<10))
	is.True(b.Used() <= b.Total())
	is.Equal(b.Refusals(), int64(3))
}

// What is held must never exceed the budget or a share, and be nothing after all is released.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := int64(rapid.IntRange(1, 1<<20).Draw(t, "total"))
		b := NewBudget(total)
		holdings := make([]*Holding, 8)
		for i := range holdings {
			holdings[i] = b.Hold(Class(i % 2))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holdings[rapid.IntRange(0, 7).Draw(t, "holding")]
			n := int64(rapid.IntRange(0, 1<<18).Draw(t, "bytes"))
			if rapid.Bool().Draw(t, "grows") {
				if fits := h.Fits(n); fits != h.Grow(n) {
					t.Fatal("Fits and Grow differ")
				}
			} else {
				h.ShrinkTo(n)
			}
			var used, large int64
			for _, h := range holdings {
				used += h.bytes
				large += h.largeAt(h.bytes)
			}
			if used != b.Used() || used > total || large != b.large || large > total/shares*largeShare {
				t.Fatalf("used %d of %d, by sum %d, large %d", b.Used(), total, used, large)
			}
		}
		for _, h := range holdings {
			h.Release()
		}
		if b.used != 0 || b.large != 0 {
			t.Fatalf("%d and %d are held by nobody", b.used, b.large)
		}
	})
}

// A buffer must not hold an announced length before it arrives, nor lose or add a byte.
func TestBufferGrowsByWhatHasArrived(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 30)
	buf := Buffer{Holding: b.Hold(OfCaller)}
	r, w := io.Pipe()
	done := make(chan error)
	go func() { done <- buf.Fill(r, 4<<20, 4<<20) }()
	_, _ = w.Write([]byte("a")) // a pipe returns no error here
	_, _ = w.Write([]byte("b"))
	is.Equal(b.Used(), int64(minSegment))
	w.CloseWithError(io.ErrUnexpectedEOF)
	is.Equal(<-done, io.ErrUnexpectedEOF)
	for _, length := range []int{0, 1, 511, 512, 513, 64 << 10, 1 << 20} {
		text := bytes.Repeat([]byte("abc"), length)[:length]
		for _, announced := range []int64{-1, int64(length)} {
			buf := Buffer{Holding: b.Hold(OfCaller)}
			is.NoErr(buf.Fill(iotest.DataErrReader(bytes.NewReader(text)), announced, 1<<20))
			got, err := io.ReadAll(buf.Reader())
			is.NoErr(err)
			is.True(bytes.Equal(got, text))
			is.Equal(buf.Len(), length)
		}
	}
	buf = Buffer{}
	is.True(IsKind(buf.Fill(bytes.NewReader(make([]byte, 11)), -1, 10), TooLarge))
	buf = Buffer{Holding: NewBudget(1024).Hold(OfCaller)}
	is.True(IsKind(buf.Fill(bytes.NewReader(make([]byte, 4096)), -1, 4096), OverBudget))
	is.Equal(buf.Len(), 512)
}
