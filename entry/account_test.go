package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

// Headers of client accounts, as the platform's page writes them.
const (
	keyHeader     = "X-Api-Key"
	accountHeader = "X-Vanilladrift-Tenant-Id"
)

// applyWithin is the bound on the time from a change of a key to its effect.
const applyWithin = 3 * time.Second

// written collects all that a process writes to connections and to its log.
type written struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (w *written) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *written) contains(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Contains(w.text.Bytes(), []byte(text))
}

// recordedConn is a connection of which all that is written is recorded.
type recordedConn struct {
	net.Conn
	to *written
}

// Write implements net.Conn.
func (c recordedConn) Write(p []byte) (int, error) {
	_, _ = c.to.Write(p) // a buffer takes everything
	return c.Conn.Write(p)
}

// recordedListener accepts such connections.
type recordedListener struct {
	net.Listener
	to *written
}

// Accept implements net.Listener.
func (l recordedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordedConn{c, l.to}, nil
}

// putAccounts writes a version of the configuration with client accounts, in which plain servers take
// few connections.
func (f *daemonFixture) putAccounts(version int, tenants string) {
	config := strings.Replace(string(platform.ExampleConfig), `"version": 1,`, fmt.Sprintf(`"version": %d, "tenants": %s,`, version, tenants), 1)
	f.store.Put(platform.ConfigRowKey, []byte(strings.Replace(config, `"max_connections": 100`, `"max_connections": 2`, 1)))
}

// sendHeaders sends a request with headers in the given spelling, and returns the status.
func (f *daemonFixture) sendHeaders(is *is.I, path, id string, headers ...string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://10.0.0.1:1"+path, nil)
	is.NoErr(err)
	r.Host = "assist.example"
	head := relay.RequestHead{ID: id, Timeout: 3 * time.Second}
	if strings.HasPrefix(path, "/chat/") {
		head.Model, head.Adapter, head.PromptTokens, head.MaxTokens = "base-7b", "a1", 10, 3
	}
	platform.EncodeRequestHead(r.Header, head)
	for i := 0; i < len(headers); i += 2 {
		r.Header[headers[i]] = append(r.Header[headers[i]], headers[i+1])
	}
	resp, err := f.client.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(resp.Header.Get("Retry-After") != "", resp.StatusCode == http.StatusServiceUnavailable)
	return resp.StatusCode
}

func (f *daemonFixture) head(id string) http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heads[id]
}

// playAccounts plays a daemon whose configuration has the accounts desk and guest, and checks at the
// end that no key is in anything that the daemon wrote. Every key of a test begins with "secret".
func playAccounts(t *testing.T, play func(is *is.I, f *daemonFixture)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := &daemonFixture{}, &written{}
		f.path = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := f.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if strings.HasPrefix(address, "10.0.0.1:") { // the callers of this test
				return c, nil
			}
			return recordedConn{c, all}, nil
		}
		f.listen = func(address string) (net.Listener, error) {
			ln, err := f.network.Listen(address)
			return recordedListener{ln, all}, err
		}
		f.start(is)
		defer f.close()
		f.daemon.log.SetLevel(log.DebugLevel)
		f.daemon.log.SetOutput(io.MultiWriter(f, all))
		f.putAccounts(2, `[{"name": "desk", "api_keys": ["secret-desk", "secret-two", "secret-both"], "priority": 1}, {"name": "guest", "api_keys": ["secret-guest", "secret-both"]}]`)
		time.Sleep(10 * time.Second)
		play(is, f)
		resp, err := f.client.Get("http://10.0.0.1:4/metrics")
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(all.contains("relayed_requests")) // the metrics were recorded
		is.True(all.contains("request ended"))    // and so was the log
		is.True(!all.contains("secret"))
	})
}

// Guards against requests without a valid key that reach a server, and against servers that get a
// key, the wrong account, or one on a public route.
func TestAccounts(t *testing.T) {
	for _, tt := range []struct {
		name, path, account string
		status              int
		headers             []string
	}{
		{"key", "/orders/x", "desk", 200, []string{keyHeader, "secret-desk"}},
		{"second key", "/orders/x", "desk", 200, []string{keyHeader, "secret-two"}},
		{"key of the other account", "/orders/x", "guest", 200, []string{"x-api-KEY", "secret-guest"}},
		{"engine", "/chat/x", "desk", 200, []string{keyHeader, "secret-desk"}},
		{"forged account", "/orders/x", "desk", 200, []string{keyHeader, "secret-desk", accountHeader, "guest"}},
		{"forged account in another spelling", "/orders/x", "desk", 200, []string{keyHeader, "secret-desk", "x-vanilladrift-tenant-ID", "guest"}},
		{"forged account with underscores", "/orders/x", "desk", 200, []string{keyHeader, "secret-desk", "X_Vanilladrift_Tenant_Id", "guest", "X_Api_Key", "secret-desk"}},
		{"headers that end with the connection", "/orders/x", "desk", 200, []string{keyHeader, "secret-desk", accountHeader, "guest", "Connection", "x-vanilladrift-tenant-id, X-Api-Key"}},
		{"public route", "/status/x", "", 200, []string{accountHeader, "guest"}},
		{"public route, key", "/status/x", "", 200, []string{keyHeader, "secret-desk", accountHeader, "guest"}},
		{"public route, unknown key", "/status/x", "", 200, []string{keyHeader, "secret-x"}},
		{"unknown key", "/orders/x", "", 401, []string{keyHeader, "secret-x"}},
		{"no key", "/orders/x", "", 401, nil},
		{"empty key", "/orders/x", "", 401, []string{keyHeader, ""}},
		{"account and no key", "/orders/x", "", 401, []string{accountHeader, "desk"}},
		{"two keys", "/orders/x", "", 401, []string{keyHeader, "secret-desk", keyHeader, "secret-two"}},
		{"two keys in two spellings", "/orders/x", "", 401, []string{keyHeader, "secret-desk", "x-api-key", "secret-desk"}},
		{"two keys in one value", "/orders/x", "", 401, []string{keyHeader, "secret-desk,secret-desk"}},
		{"scheme before the key", "/orders/x", "", 401, []string{keyHeader, "Bearer secret-desk"}},
		{"key of two accounts", "/orders/x", "", 401, []string{keyHeader, "secret-both"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			playAccounts(t, func(is *is.I, f *daemonFixture) {
				is.Equal(f.sendHeaders(is, tt.path, "r1", tt.headers...), tt.status)
				is.Equal(f.logCount("client accounts have keys in common"), 1)
				h := f.head("r1")
				is.Equal(h != nil, tt.status == 200)
				is.Equal(h[keyHeader], nil)
				is.Equal(h["X_api_key"], nil)
				is.Equal(h["X_vanilladrift_tenant_id"], nil)
				is.Equal(strings.Join(h[accountHeader], ","), tt.account)
				record := f.ledger.Record()
				if tt.path == "/chat/x" {
					record = f.engine.Record()
				}
				is.Equal(record.Accounts["r1"], tt.account)
				is.Equal(record.WithKey, 0)
			})
		})
	}
}

// Guards against changes of keys that take effect late, and against a final refusal of a key by a node
// that may not have read it yet.
func TestKeysChange(t *testing.T) {
	playAccounts(t, func(is *is.I, f *daemonFixture) {
		f.putAccounts(3, `[{"name": "desk", "api_keys": ["secret-guest"]}, {"name": "guest", "api_keys": ["secret-new"]}]`)
		time.Sleep(applyWithin)
		is.Equal(f.sendHeaders(is, "/orders/x", "removed", keyHeader, "secret-desk"), 401)
		is.Equal(f.sendHeaders(is, "/orders/x", "added", keyHeader, "secret-new"), 200)
		is.Equal(f.sendHeaders(is, "/orders/x", "moved", keyHeader, "secret-guest"), 200)
		is.Equal(f.head("moved").Get(accountHeader), "desk")

		f.store.SetFault(standin.TableFault{Down: true})
		time.Sleep(2 * defaultCatchUpPeriod)
		f.putAccounts(4, `[{"name": "desk", "api_keys": ["secret-late"]}]`)
		is.Equal(f.sendHeaders(is, "/orders/x", "unknown", keyHeader, "secret-late"), 503)
		is.Equal(f.sendHeaders(is, "/orders/x", "known", keyHeader, "secret-new"), 200)
		f.store.SetFault(standin.TableFault{})
		time.Sleep(defaultCatchUpPeriod)
		is.Equal(f.sendHeaders(is, "/orders/x", "known now", keyHeader, "secret-late"), 200)
		is.Equal(f.sendHeaders(is, "/orders/x", "removed now", keyHeader, "secret-new"), 401)

		f.store.Put(platform.ConfigRowKey, bytes.Replace(platform.ExampleConfig, []byte(`"version": 1,`), []byte(`"version": 5,`), 1))
		time.Sleep(applyWithin)
		is.Equal(f.sendHeaders(is, "/orders/x", "no accounts", keyHeader, "own", accountHeader, "own"), 200)
		is.Equal(f.head("no accounts").Get(keyHeader), "own") // these headers are the callers' own then
		is.Equal(f.head("no accounts").Get(accountHeader), "own")
	})
}

// Guards against a key that was taken away and is valid again, or a new one that is refused, since the
// store was restored from an older copy.
func TestKeysAfterARestore(t *testing.T) {
	playAccounts(t, func(is *is.I, f *daemonFixture) {
		before := f.store.Copy()
		f.putAccounts(3, `[{"name": "desk", "api_keys": ["secret-new"]}]`)
		time.Sleep(applyWithin)
		f.store.SetFault(standin.TableFault{Down: true})
		f.store.Restore(before)
		time.Sleep(time.Second)
		f.store.SetFault(standin.TableFault{})
		time.Sleep(defaultCatchUpPeriod)
		is.Equal(f.sendHeaders(is, "/orders/x", "removed", keyHeader, "secret-desk"), 401)
		is.Equal(f.sendHeaders(is, "/orders/x", "kept", keyHeader, "secret-new"), 200)
		f.putAccounts(3, `[{"name": "guest", "api_keys": ["secret-again"]}]`) // the version was lost and is written again
		time.Sleep(applyWithin)
		is.Equal(f.sendHeaders(is, "/orders/x", "lost", keyHeader, "secret-new"), 401)
		is.Equal(f.sendHeaders(is, "/orders/x", "again", keyHeader, "secret-again"), 200)
		is.Equal(f.head("again").Get(accountHeader), "guest")
	})
}

// Guards against requests that wait for a connection, to be opened or to become free, and are sent
// with a key that was taken away or moved meanwhile.
func TestKeyChangesWhileARequestWaitsForAConnection(t *testing.T) {
	const held = time.Second
	for _, tt := range []struct {
		name, tenants string
		status        int
	}{
		{"taken away", `[{"name": "desk", "api_keys": []}, {"name": "guest", "api_keys": ["secret-guest"]}]`, 401},
		{"moved", `[{"name": "guest", "api_keys": ["secret-desk", "secret-guest"]}]`, 503},
		{"kept", `[{"name": "desk", "api_keys": ["secret-desk"]}, {"name": "guest", "api_keys": ["secret-guest"]}]`, 200},
	} {
		t.Run(tt.name+", opened", func(t *testing.T) {
			playAccounts(t, func(is *is.I, f *daemonFixture) {
				f.setDialDelay(held)
				time.AfterFunc(held/2, func() { f.putAccounts(3, tt.tenants) })
				is.Equal(f.sendHeaders(is, "/orders/x", "waits", keyHeader, "secret-desk"), tt.status)
				is.Equal(f.head("waits") != nil, tt.status == 200)
			})
		})
		t.Run(tt.name+", free", func(t *testing.T) {
			playAccounts(t, func(is *is.I, f *daemonFixture) {
				f.ledger.EventTime = held
				var wg sync.WaitGroup
				for i := range 2 {
					wg.Go(func() {
						is.Equal(f.sendHeaders(is, "/orders/x", fmt.Sprint("runs-", i), keyHeader, "secret-guest"), 200)
					})
				}
				time.Sleep(held / 4)
				time.AfterFunc(held/4, func() { f.putAccounts(3, tt.tenants) })
				is.Equal(f.sendHeaders(is, "/orders/x", "waits", keyHeader, "secret-desk"), tt.status)
				is.Equal(f.head("waits") != nil, tt.status == 200)
				wg.Wait()
			})
		})
	}
}
