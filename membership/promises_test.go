package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func TestPromises(t *testing.T) {
	const ttl, margin = 2500 * time.Millisecond, 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		setup   func(p *Promises)
		delay   time.Duration // when the promise is requested
		allowed bool
	}{
		{"no contact", func(*Promises) {}, 0, true},
		{"contact just now", func(p *Promises) { p.RecordContact("p", t0) }, 0, false},
		{"consent just now", func(p *Promises) { p.Consent("p", 0, 1, t0) }, 0, false},
		{"consent a TTL ago", func(p *Promises) { p.Consent("p", 0, 1, t0) }, ttl, false},
		{"consent a TTL and a margin ago", func(p *Promises) { p.Consent("p", 0, 1, t0) }, ttl + margin, false},
		{"consent longer ago", func(p *Promises) { p.Consent("p", 0, 1, t0) }, ttl + margin + 1, true},
		{"consent to another process", func(p *Promises) { p.Consent("q", 0, 1, t0) }, 0, true},
		{"consent, and records expired since", func(p *Promises) {
			p.Consent("p", 0, 1, t0)
			p.Expire(t0.Add(ttl))
		}, ttl, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := &Promises{LeaseTime: ttl + margin, Retention: 4 * (ttl + margin)}
			tt.setup(p)
			now := t0.Add(tt.delay)
			is.Equal(p.HasContact("p", now), !tt.allowed)
			is.Equal(p.Promise("p", 0, 3, now), tt.allowed)
			// After the promise, the owner can no longer rely on this witness.
			is.Equal(p.Consent("p", 0, 3, now), !tt.allowed)
			p.Expire(now.Add(2 * ttl)) // the owner's lease may still be valid by the consent of others
			is.Equal(p.Consent("p", 0, 2, now), !tt.allowed)
			// A renewal of its session makes the promise void.
			is.True(p.Consent("p", 0, 4, now))
		})
	}
}

// A late request with an old version must not weaken an earlier promise.
func TestPromisesKeepTheLatestVersion(t *testing.T) {
	is := is.New(t)
	p := &Promises{LeaseTime: time.Second, Retention: time.Minute}
	is.True(p.Promise("p", 0, 5, t0))
	is.True(p.Promise("p", 0, 4, t0))
	is.True(!p.Consent("p", 0, 5, t0))
}

// Guards against a consent or a promise that is decided after the versions of its generation were given out again.
func TestPromisesAreOfOneGeneration(t *testing.T) {
	is := is.New(t)
	p := &Promises{LeaseTime: time.Second, Retention: time.Minute}
	is.True(p.Promise("p", 0, 5, t0))
	p.StartGeneration(2)
	is.True(!p.Consent("p", 0, 5, t0))
	is.True(!p.Promise("p", 0, 6, t0))
	is.True(p.Consent("p", 2, 1, t0))  // what was promised before does not count
	is.True(!p.Promise("p", 2, 1, t0)) // the contact does
	is.True(p.Promise("q", 2, 1, t0))
}
