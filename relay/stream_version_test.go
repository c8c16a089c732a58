package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/route"
)

// versionFixture is a fixture with two servers of each of two software versions, on a route of
// streams that may be resumed.
type versionFixture struct {
	*fixture
	origins backend.StreamOrigins
}

func newVersionFixture(pool route.Pool, replies ...reply) *versionFixture {
	f := &versionFixture{fixture: newFixture(route.Route{Kind: route.Stream, MaxAttempts: 3, Resumable: true, Timeout: 5 * time.Second}, pool, replies...)}
	f.registry.Replace(time.Now(), []backend.Server{
		{ID: "a", Pool: pool.Name, Build: "v1"},
		{ID: "b", Pool: pool.Name, Build: "v2"},
		{ID: "c", Pool: pool.Name, Build: "v1"},
		{ID: "d", Pool: pool.Name, Build: "v2"},
	})
	decode := f.handler.DecodeRequest
	f.handler.DecodeRequest = func(h http.Header) (RequestHead, error) {
		head, err := decode(h)
		head.Resumes = h.Get("Resumes")
		return head, err
	}
	f.handler.FindOrigin = func(_ context.Context, key backend.StreamKey, _ string) (backend.Origin, bool) {
		return f.origins.Find(key)
	}
	f.handler.RecordOrigin = f.origins.Begin
	f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
		if len(names) == 0 {
			return caller.Grant{}, &caller.Refusal{Reason: engine.NotLoaded}
		}
		return caller.Grant{Engine: names[len(names)-1], ID: w.ID}, nil
	}
	return f
}

// takeUp sends an attempt that goes on after an event of another one.
func (f *versionFixture) takeUp(id, resumes, after string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://a.example/p/x", strings.NewReader("body"))
	r.Header.Set("Id", id)
	r.Header.Set("Resumes", resumes)
	r.Header.Set("After", after)
	f.handler.ServeHTTP(w, r)
	return w
}

// builds returns the software versions of the servers that got requests.
func (f *versionFixture) builds() (list []string) {
	for _, r := range f.servers.requests {
		list = append(list, r.Server.Build)
	}
	return list
}

func streamReply(from, to int, cut bool) reply {
	return reply{head: testHead(200, "stream"), body: events(from, to), truncated: cut}
}

// Guards against one response with events of two software versions: the server that goes on was
// picked by load alone.
func TestStreamIsResumedAtItsVersion(t *testing.T) {
	for _, pool := range []route.Pool{enginePool(), plainPool()} {
		t.Run(pool.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionFixture(pool, streamReply(1, 2, true), streamReply(3, 4, false))
				w, cut := f.serve("/p/x", "r1", "body")
				is.True(!cut)
				is.Equal(w.Body.String(), events(1, 4))
				builds := f.builds()
				is.Equal(len(builds), 2)
				is.Equal(builds[0], builds[1])
			})
		})
	}
}

// Guards against a request that is bound to a software version before the caller got any event.
func TestRequestWithoutEventsMayUseAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture(enginePool(), reply{err: errors.New("connection reset")}, streamReply(1, 2, false))
		f.handler.Acquire = func(_ context.Context, _ []string, w engine.Work) (caller.Grant, error) {
			return caller.Grant{Engine: []string{"a", "b"}[len(f.servers.requests)], ID: w.ID}, nil
		}
		w, _ := f.serve("/p/x", "r1", "body")
		is.Equal(w.Code, http.StatusOK)
		is.Equal(f.builds(), []string{"v1", "v2"})
	})
}

// Guards against streams that go on at an engine that has started again in another software version,
// and against streams that begin there and go on at the version of its row: the owner of the engine
// knows of the start before its new row is read.
func TestVersionOfStreamIsThatOfTheGrantedStart(t *testing.T) {
	for _, tt := range []struct {
		name        string
		boot, build string // of the start of b, which has v2 in its row, according to its owner
		begins      bool   // the stream begins at b, instead of going on there
		servers     string
	}{
		{"goes on at the start of the row", "0", "", false, "d b"},
		{"goes on at a start whose version is not known", "9", "", false, "d d"},
		{"goes on at a start in another version", "9", "v1", false, "d d"},
		{"goes on at a start in the same version", "9", "v2", false, "d b"},
		{"begins at the start of the row", "0", "", true, "b d"},
		{"begins at a start whose version is not known", "9", "", true, "d d"},
		{"begins at a start in another version", "9", "v1", true, "b c"},
		{"without an owner", "", "", false, "d b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionFixture(enginePool(), streamReply(1, 2, true), streamReply(3, 4, false))
				order := []string{"d", "b", "d", "c"}
				if tt.begins {
					order = []string{"b", "d", "b", "d", "c"}
				}
				f.handler.Acquire = func(_ context.Context, names []string, w engine.Work) (caller.Grant, error) {
					for i, name := range order {
						if slices.Contains(names, name) {
							order = order[i+1:]
							if name != "b" {
								return caller.Grant{Engine: name, ID: w.ID, Boot: "0"}, nil
							}
							return caller.Grant{Engine: name, ID: w.ID, Boot: tt.boot, Build: tt.build}, nil
						}
					}
					return caller.Grant{}, &caller.Refusal{Reason: engine.NotLoaded}
				}
				w, cut := f.serve("/p/x", "r1", "body")
				var servers []string
				for _, r := range f.servers.requests {
					servers = append(servers, r.Server.ID)
				}
				is.Equal(strings.Join(servers, " "), tt.servers)
				is.True(!cut)
				is.Equal(w.Body.String(), events(1, 4))
			})
		})
	}
}

// Guards against take-ups that go on at a software version that did not begin the stream.
func TestTakeUpGoesOnAtItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		resumes string
		status  int
	}{
		{"of an attempt that began", "r1", http.StatusOK},
		{"of a take-up", "r2", http.StatusOK},
		{"of an attempt that never began", "r9", http.StatusServiceUnavailable},
		{"without the attempt's ID", "", http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionFixture(enginePool(), streamReply(1, 2, false), streamReply(3, 4, false), streamReply(5, 6, false))
				f.serve("/p/x", "r1", "body")
				f.decodeID = "r2"
				is.Equal(f.takeUp("r2", "r1", "2").Code, http.StatusOK)
				f.decodeID = "r3"
				w := f.takeUp("r3", tt.resumes, "4")
				is.Equal(w.Code, tt.status)
				builds := f.builds()
				if tt.status == http.StatusOK {
					is.Equal(builds, []string{builds[0], builds[0], builds[0]})
					return
				}
				is.Equal(len(builds), 2)
				is.True(strings.Contains(w.Body.String(), string(CannotResume)))
				is.Equal(w.Header().Get("Retry-After"), "") // a retry would not help
			})
		})
	}
}

// Guards against a take-up that waits for a software version whose last server is gone or leaving.
func TestTakeUpOfVersionThatLeftIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture(enginePool(), streamReply(1, 2, false))
		f.serve("/p/x", "r1", "body")
		var left []backend.Server
		for _, s := range f.registry.View().Pool(enginePool().Name) {
			left = append(left, *s)
			left[len(left)-1].Draining = s.Build == f.builds()[0]
		}
		f.registry.Replace(time.Now(), left)
		start := time.Now()
		w := f.takeUp("r2", "r1", "2")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(strings.Contains(w.Body.String(), string(CannotResume)))
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(f.servers.requests), 1)
	})
}

// Guards against a caller that gets the rest of another one's stream, or a version by an ID that two
// of them chose.
func TestTakeUpOfAnotherRequestIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFixture(enginePool(), streamReply(1, 2, false))
		f.serve("/p/x", "r1", "another body")
		is.New(t).Equal(f.takeUp("r2", "r1", "2").Code, http.StatusServiceUnavailable)
	})
}

// Guards against streams that begin at a software version of which other nodes cannot know yet.
func TestStreamsBeginOnlyWhereTheyMay(t *testing.T) {
	for _, pool := range []route.Pool{enginePool(), plainPool()} {
		t.Run(pool.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionFixture(pool, streamReply(1, 2, false))
				f.handler.MayBegin = func(s *backend.Server) bool { return s.Build == "v2" }
				f.serve("/p/x", "r1", "body")
				is.Equal(f.builds(), []string{"v2"})
			})
		})
	}
}
