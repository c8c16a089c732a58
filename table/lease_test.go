package table

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	l := Lease{TTL: 6 * time.Second, Margin: time.Second}
	is.True(!l.Valid(t0))
	l.RecordRenewal(t0)
	is.True(l.Valid(t0.Add(4999 * time.Millisecond)))
	is.True(!l.Valid(t0.Add(5 * time.Second)))
	l.RecordRenewal(t0.Add(3 * time.Second))
	l.RecordRenewal(t0.Add(time.Second)) // an older answer that comes late
	is.Equal(l.Remaining(t0.Add(3*time.Second)), 5*time.Second)
	l.Invalidate()
	is.True(!l.Valid(t0))
}

// The taker's wait starts after the holder's last sending and is longer, so
// that the holder's lease has ended whenever the taker's has lapsed.
func TestTakerWaitsLongerThanHolder(t *testing.T) {
	is := is.New(t)
	l := Lease{TTL: 6 * time.Second, Margin: time.Second}
	w := SessionMonitor{TTL: 6 * time.Second, Margin: time.Second}
	l.RecordRenewal(t0)
	w.Observe("s", 1, t0.Add(10*time.Millisecond))
	for d := time.Duration(0); d < 12*time.Second; d += 100 * time.Millisecond {
		now := t0.Add(d)
		is.True(!(l.Valid(now) && w.Expired("s", now)))
	}
	is.True(w.Expired("s", t0.Add(8*time.Second)))
	w.Observe("s", 2, t0.Add(8*time.Second)) // renewed after all
	is.True(!w.Expired("s", t0.Add(9*time.Second)))
	is.True(!w.Expired("never seen", t0.Add(time.Hour)))
}

func TestOwnerRowWithSwap(t *testing.T) {
	is := is.New(t)
	o := Owner{Stable: []string{"a", "b"}}
	is.Equal(o.WithStableChange("a", "c").Stable, []string{"b", "c"})
	is.Equal(o.WithStableChange("", "b").Stable, []string{"a", "b"})
	is.Equal(o.WithStableChange("x", "").Stable, []string{"a", "b"})
	is.Equal(o.Stable, []string{"a", "b"})
}
