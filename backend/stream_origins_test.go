package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams that other nodes do not know of when a second software version comes into
// service after they began, and against memory that grows without bound.
func TestStreamOrigins(t *testing.T) {
	is := is.New(t)
	isShared := false
	s, now := &StreamOrigins{IsShared: func(string) bool { return isShared }}, time.Unix(1000, 0)
	first := StreamOrigin{Key: StreamKey{1}, Origin: Origin{Pool: "p", Build: "v1"}}
	s.Begin(now, first)
	is.Equal(len(s.TakeUnshared(now)), 0)
	isShared = true
	is.Equal(s.TakeUnshared(now.Add(unsharedRetention)), []StreamOrigin{first})
	is.Equal(len(s.TakeUnshared(now.Add(unsharedRetention))), 0)

	other := &StreamOrigins{}
	other.Learn(now, []StreamOrigin{first})
	o, ok := other.Find(first.Key)
	is.True(ok)
	is.Equal(o, first.Origin)
	_, ok = other.Find(StreamKey{2})
	is.True(!ok)

	later := now.Add(originRetention + time.Second)
	s.Begin(later, StreamOrigin{Key: StreamKey{3}})
	_, ok = s.Find(first.Key)
	is.True(ok)
	s.Begin(later.Add(originRetention+time.Second), StreamOrigin{Key: StreamKey{4}})
	_, ok = s.Find(first.Key)
	is.True(!ok)
	is.True(len(s.unshared) <= 1)
}

// Guards against a stream whose node ended before it told anybody where the stream began, and against one that goes on
// where it was only granted.
func TestGrantedStreams(t *testing.T) {
	is := is.New(t)
	s, now := &StreamOrigins{}, time.Unix(1000, 0)
	v1, v2 := Origin{Pool: "p", Build: "v1"}, Origin{Pool: "p", Build: "v2"}
	s.Expect(now, StreamOrigin{Key: StreamKey{1}, Origin: v1})
	s.Expect(now, StreamOrigin{Key: StreamKey{2}, Origin: v1})
	s.Withdraw([]StreamKey{{2}})
	o, ok := s.Expected(StreamKey{1})
	is.True(ok)
	is.Equal(o, v1)
	_, ok = s.Expected(StreamKey{2})
	is.True(!ok)
	_, ok = s.Find(StreamKey{1})
	is.True(!ok) // it may have begun elsewhere

	for _, tt := range []struct {
		list []Origin
		ok   bool
	}{{nil, false}, {[]Origin{v1}, true}, {[]Origin{v1, v1}, true}, {[]Origin{v1, v2}, false}} {
		o, ok := AgreedOrigin(tt.list)
		is.Equal(ok, tt.ok)
		is.True(!ok || o == v1)
	}
}
