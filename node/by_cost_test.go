package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against an owner that keeps the order of its queue when the configuration changes.
func TestOrderFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	var byCost atomic.Bool
	n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual(), ByCost: byCost.Load})
	o := newOwnedEngine(n, settings.BackendServer{Name: "e", Slots: 2, UnloadWaitsForRequests: true}, table.Owner{}, 1)
	o.reportPending = true
	for _, want := range []bool{false, true, false, true} {
		byCost.Store(want)
		o.tick(t.Context(), time.Now())
		is.Equal(o.sched.IsByCost(), want)
	}
	is.True(newOwnedEngine(n, settings.BackendServer{Name: "e2", Slots: 2}, table.Owner{}, 1).sched.IsByCost())
}
