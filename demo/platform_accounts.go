package demo

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/route"
)

// publicRoute is the route of the example configuration that needs no client account.
const publicRoute = "status"

// accountsDeadline is the time within which a change of client accounts is in force. The platform
// defines it.
const accountsDeadline = 3 * time.Second

// keyPrefix is the beginning of all keys, and of nothing else.
const keyPrefix = "key-of-"

// formerKey is the key that the first account has until [platformTraffic.replaceKey].
const formerKey = keyPrefix + "desk-1"

// keySearch counts the lines that contain a key.
type keySearch struct {
	out   io.Writer
	found atomic.Int64
}

// Write implements io.Writer. Each call writes one line.
func (s *keySearch) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(keyPrefix)) {
		s.found.Add(1)
	}
	return s.out.Write(p)
}

// addAccounts writes the first configuration with client accounts, whose keys all later requests have.
func (t *platformTraffic) addAccounts() {
	t.putAccounts(2, []route.AccountKeys{
		{Account: route.Account{Name: "desk", Priority: 0, HasPriority: true}, Keys: []string{formerKey}},
		{Account: route.Account{Name: "guest", Priority: 1, HasPriority: true}, Keys: []string{keyPrefix + "guest-1"}},
	})
	t.sendUnauthorized(keyPrefix + "nobody")
}

// replaceKey replaces the key of an account. The former one must authenticate nobody then.
func (t *platformTraffic) replaceKey() {
	desk, guest := t.accounts[0], t.accounts[1]
	desk.Keys = []string{keyPrefix + "desk-2"}
	t.putAccounts(3, []route.AccountKeys{desk, guest})
	t.sendUnauthorized(formerKey)
}

// putAccounts writes a version of the configuration and waits until it must be in force. No request
// may be under way.
func (t *platformTraffic) putAccounts(version int64, accounts []route.AccountKeys) {
	t.sys.store.Put(platform.ConfigRowKey, platform.EncodeExampleConfig(version, accounts))
	time.Sleep(accountsDeadline)
	t.accounts = accounts
}

// sendUnauthorized sends a request with a key that authenticates nobody to each daemon, and one
// without a key.
func (t *platformTraffic) sendUnauthorized(key string) {
	for i, address := range t.callerAddrs {
		for _, key := range []string{key, ""} {
			c := call{route: "orders", head: relay.RequestHead{ID: fmt.Sprintf("unauthorized-%d.%d", len(t.notRun), i), Timeout: time.Second, Key: key}}
			status := 0
			if resp, err := t.sys.client.Do(c.newRequest(address)); err == nil {
				status = resp.StatusCode
				resp.Body.Close()
			}
			t.notRun[c.head.ID] = true
			t.result.Unauthorized++
			if status != http.StatusUnauthorized {
				t.result.Admitted++
			}
		}
	}
}
