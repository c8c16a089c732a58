package table

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func TestLeaseCountsFromSendTime(t *testing.T) {
	is := is.New(t)
	l := Lease{TTL: 6 * time.Second, Margin: time.Second}
	is.True(!l.Valid(t0))
	l.RecordRenewal(t0)
	is.True(l.Valid(t0.Add(4999 * time.Millisecond)))
	is.True(!l.Valid(t0.Add(5 * time.Second)))
	l.RecordRenewal(t0.Add(3 * time.Second))
	l.RecordRenewal(t0.Add(time.Second)) // a late response to an earlier renewal
	is.Equal(l.Remaining(t0.Add(3*time.Second)), 5*time.Second)
	l.Invalidate()
	is.True(!l.Valid(t0))
}

// A session must not count as expired while its holder still counts its lease as valid.
// The monitor starts to wait after the holder sent its renewal, and waits longer.
func TestSessionExpiresAfterLease(t *testing.T) {
	is := is.New(t)
	l := Lease{TTL: 6 * time.Second, Margin: time.Second}
	m := SessionMonitor{TTL: 6 * time.Second, Margin: time.Second}
	l.RecordRenewal(t0)
	m.Observe("s", 1, t0.Add(10*time.Millisecond))
	for d := time.Duration(0); d < 12*time.Second; d += 100 * time.Millisecond {
		now := t0.Add(d)
		is.True(!(l.Valid(now) && m.Expired("s", now)))
	}
	is.True(m.Expired("s", t0.Add(8*time.Second)))
	m.Observe("s", 2, t0.Add(8*time.Second)) // the holder renewed late
	is.True(!m.Expired("s", t0.Add(9*time.Second)))
	is.True(!m.Expired("never seen", t0.Add(time.Hour)))
}

func TestOwnerWithStableChange(t *testing.T) {
	is := is.New(t)
	o := Owner{StableAdapters: []string{"a", "b"}}
	is.Equal(o.WithStableChange("a", "c").StableAdapters, []string{"b", "c"})
	is.Equal(o.WithStableChange("", "b").StableAdapters, []string{"a", "b"})
	is.Equal(o.WithStableChange("x", "").StableAdapters, []string{"a", "b"})
	is.Equal(o.StableAdapters, []string{"a", "b"})
}
