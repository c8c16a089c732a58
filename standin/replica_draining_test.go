package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
)

// Guards against tests of leaving replicas in which nodes learn it from the store only.
func TestDrainingReplicaSaysSoInAllResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := testReplica()
		send := func(method, path, body string) (status int, draining bool) {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			if strings.HasPrefix(path, "/chat/") {
				platform.EncodeRequestHead(req.Header, relay.RequestHead{ID: "r1", Timeout: 10 * time.Second, Model: "m", MaxTokens: 3})
			}
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			return w.Code, platform.DecodeResponseHead(w.Result()).Asks.Draining
		}
		calls := []struct {
			method, path, body string
			status             int
		}{
			{http.MethodGet, "/report", "", http.StatusOK},
			{http.MethodPost, "/order", `{"operation":"load","model":"m","adapter":"a1","expected":9,"holder":"n1","fencing_token":1}`, http.StatusConflict},
			{http.MethodPost, "/order", "{}", http.StatusBadRequest},
			{http.MethodPost, "/chat/", "", http.StatusOK},
			{http.MethodPost, "/nothing", "", http.StatusBadRequest},
		}
		for _, draining := range []bool{false, true} {
			for _, c := range calls {
				status, got := send(c.method, c.path, c.body)
				is.Equal(status, c.status)
				is.Equal(got, draining)
			}
			r.Drain()
		}
		r.Restart()
		_, got := send(http.MethodGet, "/report", "")
		is.True(!got) // the next incarnation stays
	})
}
