package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that is ended by a response of before it, or kept by another
// incarnation, and against one that is taken for none as it cannot be read.
func TestLimits(t *testing.T) {
	is := is.New(t)
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	var l Limits
	s := &Server{ID: "a", StartMS: 5}
	observe := func(sent, received float64, s *Server, a Asks) (perSecond float64, limited, changed bool) {
		_, changed = l.Observe(at(sent), at(received), s, a)
		known, _ := l.Get(s.ID)
		return known.PerSecond, known.Limited, changed
	}
	for _, tt := range []struct {
		sent, received   float64
		server           *Server
		asks             Asks
		perSecond        float64
		limited, changed bool
	}{
		{0, 1, s, Asks{}, 0, false, false},
		{2, 3, s, Asks{Limited: true, PerSecond: 3.6}, 3.6, true, true},
		{2, 4, s, Asks{}, 3.6, true, false},           // may have been sent before the limit began
		{1, 5, s, Asks{}, 3.6, true, false},           // likewise
		{4, 5, s, Asks{Limited: true}, 0, true, true}, // a limit of nothing
		{6, 7, s, Asks{LimitErr: errors.New("?")}, 0, true, false},
		{8, 9, s, Asks{}, 0, false, true},
		{9.5, 10, s, Asks{LimitErr: errors.New("?")}, unreadableLimit, true, true},
		{11, 12, &Server{ID: "a", StartMS: 4}, Asks{}, unreadableLimit, true, false}, // a former incarnation
		{11, 12, &Server{ID: "a", StartMS: 6}, Asks{}, 0, false, true},
		{11, 13, s, Asks{Limited: true, PerSecond: 2}, 0, false, false},
	} {
		perSecond, limited, changed := observe(tt.sent, tt.received, tt.server, tt.asks)
		is.Equal(limited, tt.limited)
		is.Equal(changed, tt.changed)
		if limited {
			is.Equal(perSecond, tt.perSecond)
		}
	}
}

// Guards against an older statement that a node takes up from another one.
func TestMergedLimits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l Limits
	s := &Server{ID: "a", StartMS: 5}
	is.True(!l.Merge(now, "a", Limit{StartMS: 5, At: now})) // none is known
	is.True(l.Merge(now, "a", Limit{StartMS: 5, Limited: true, PerSecond: 3, At: now}))
	is.True(l.IsLimited(s))
	is.True(!l.IsLimited(&Server{ID: "a", StartMS: 6}))
	is.True(!l.Merge(now, "a", Limit{StartMS: 5, At: now.Add(-time.Second)}))
	is.True(l.IsLimited(s))
	is.True(l.Merge(now, "a", Limit{StartMS: 5, At: now.Add(time.Second)}))
	is.True(!l.Merge(now, "a", Limit{StartMS: 5, Limited: true, PerSecond: 3, At: now}))
	is.True(!l.IsLimited(s))
	is.True(l.Merge(now, "b", Limit{StartMS: 5, Limited: true, PerSecond: 3, At: now}))
	is.True(l.Merge(now.Add(2*limitTTL), "c", Limit{StartMS: 5, Limited: true, PerSecond: 3, At: now.Add(2 * limitTTL)}))
	_, ok := l.Get("b")
	is.True(!ok) // nothing was heard of it
}
