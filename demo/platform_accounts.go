package demo

import (
	"fmt"
	"net/http"
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

// formerKey is the key that the first account has until [platformTraffic.replaceKey].
const formerKey = "key-desk-1"

// addAccounts writes the first configuration with client accounts, whose keys all later requests have.
func (t *platformTraffic) addAccounts() {
	t.putAccounts(2, []route.AccountKeys{
		{Account: route.Account{Name: "desk", Priority: 0, HasPriority: true}, Keys: []string{formerKey}},
		{Account: route.Account{Name: "guest", Priority: 1, HasPriority: true}, Keys: []string{"key-guest-1"}},
	})
	t.sendUnauthorized("key-nobody")
}

// replaceKey replaces the key of an account. The former one must authenticate nobody then.
func (t *platformTraffic) replaceKey() {
	desk, guest := t.accounts[0], t.accounts[1]
	desk.Keys = []string{"key-desk-2"}
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
			c := call{route: "orders", head: relay.RequestHead{ID: fmt.Sprintf("no-%d-%d.%s", len(t.notRun), i, key), Timeout: time.Second, Key: key}}
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
