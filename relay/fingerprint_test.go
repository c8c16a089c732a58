package relay

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against attempts of one request that look like several, and several requests that look
// like one.
func TestFingerprint(t *testing.T) {
	type request struct{ method, url, remote, caller, body, id string }
	base := request{"GET", "http://a.example/p/x?page=1", "10.0.0.1:4000", "", "body", "r1"}
	for _, tt := range []struct {
		name   string
		change func(r *request)
		same   bool
	}{
		{"another attempt", func(r *request) { r.id = "r2" }, true},
		{"another connection", func(r *request) { r.remote = "10.0.0.1:4001" }, true},
		{"method", func(r *request) { r.method = "POST" }, false},
		{"host", func(r *request) { r.url = "http://b.example/p/x?page=1" }, false},
		{"path", func(r *request) { r.url = "http://a.example/p/y?page=1" }, false},
		{"query", func(r *request) { r.url = "http://a.example/p/x?page=2" }, true},
		{"address of the caller", func(r *request) { r.remote = "10.0.0.2:4000" }, false},
		{"credential", func(r *request) { r.caller = "Bearer k" }, false},
		{"body", func(r *request) { r.body = "other" }, false},
		{"border of path and body", func(r *request) { r.url, r.body = "http://a.example/p/xb", "ody" }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fingerprint := func(r request) string {
				in := httptest.NewRequest(r.method, r.url, strings.NewReader(r.body))
				in.RemoteAddr = r.remote
				x := &exchange{r: in, head: RequestHead{ID: r.id, Caller: r.caller}}
				is.New(t).NoErr(x.body.Fill(strings.NewReader(r.body), -1, len(r.body)))
				return x.fingerprint().String()
			}
			other := base
			tt.change(&other)
			is.New(t).Equal(fingerprint(base) == fingerprint(other), tt.same)
		})
	}
}

// Guards against a caller that gets another name when its address changes.
func TestFingerprintOfCallerWithCredential(t *testing.T) {
	fingerprint := func(remote string) string {
		in := httptest.NewRequest("GET", "http://a.example/", nil)
		in.RemoteAddr = remote
		return (&exchange{r: in, head: RequestHead{Caller: "Bearer k"}}).fingerprint().String()
	}
	is.New(t).Equal(fingerprint("10.0.0.1:4000"), fingerprint("10.0.0.2:4000"))
}
