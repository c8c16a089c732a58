package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/route"
)

// Guards against deployments without client accounts that are served in another order than before,
// and against a node that keeps its order when accounts are added or removed.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	d := newStateFixture(t)
	plain := d.state.routes.Load()
	accounts := plain.WithAccounts([]route.AccountKeys{{Account: route.Account{Name: "a"}, Keys: []string{"k"}}})
	for _, tt := range []struct {
		schedule Schedule
		routes   *route.Table
		byCost   bool
	}{
		{"", nil, false},
		{"", plain, false},
		{"", accounts, true},
		{ScheduleAuto, accounts, true},
		{ScheduleAuto, plain, false},
		{ScheduleByCost, plain, true},
		{ScheduleByCost, nil, true},
		{ScheduleByArrival, accounts, false},
	} {
		d.Schedule = tt.schedule
		d.state.routes.Store(tt.routes)
		is.Equal(d.isByCost(), tt.byCost)
	}
}

// Guards against schedulers that do not know the memory of their engines.
func TestMemoryOfEngines(t *testing.T) {
	is := is.New(t)
	d := newStateFixture(t)
	d.state.replaceServerRows(serverRows(1, backend.Server{ID: "e", StartMS: 5, Address: "10.0.0.3:1"}))
	pool, _ := d.state.routes.Load().Pool("engines")
	b, ok := d.state.store.Tree().Backend("e")
	is.True(ok)
	is.Equal(b.KVCapacity, pool.Engine.KVCapacity)
	is.True(b.KVCapacity > 0)
}
