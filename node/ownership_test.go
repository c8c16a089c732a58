package node

import (
	"testing"
	"time"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against a node that stands still: a tick holds the lock of an engine when it takes that
// of the node, so a takeover must not ask engines while it holds the node's.
func TestTakeoverBesideTickDoesNotBlock(t *testing.T) {
	n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual()})
	o := newOwnedEngine(n, settings.BackendServer{Name: "e", Slots: 2, UnloadWaitsForRequests: true}, table.Owner{}, 1)
	n.formerlyOwned["e"] = append(n.formerlyOwned["e"], o)
	o.reportPending = true
	done := make(chan bool, 2)
	for _, f := range []func(){func() { o.tick(t.Context(), time.Now()) }, func() { n.hasCommandsInFlight("e") }} {
		go func() {
			for range 20000 {
				f()
			}
			done <- true
		}()
	}
	for range 2 {
		select {
		case <-done:
		case <-time.After(30 * time.Second):
			t.Fatal("blocked")
		}
	}
}
