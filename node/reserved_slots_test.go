package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against a new owner that fills an engine that started lately, so that a late load of the
// owner before finds no slot, and against one whose scheduler fills the slot that its sequencer
// keeps free. An engine that nobody owned before gets no such load.
func TestSchedulerOfANewOwnerLeavesASlotFree(t *testing.T) {
	for _, tt := range []struct {
		name    string
		token   int64
		started time.Duration // before the report
		victim  string        // of the load of a third adapter into three slots
	}{
		{"first owner", 1, time.Second, ""},
		{"later owner", 2, time.Second, "m/a"},
		{"later owner of an engine that runs for long", 2, time.Minute, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := New(Config{
				Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual(),
				Sequencer: func(settings.BackendServer) *engine.Sequencer {
					return &engine.Sequencer{FetchState: func(context.Context) (engine.State, error) {
						return engine.State{Boot: "1", StartedAt: time.Now().Add(-tt.started), Models: []string{"m"}}, nil
					}}
				},
			})
			o := newOwnedEngine(n, settings.BackendServer{Name: "e", Slots: 3, BaseModel: "m", UnloadWaitsForRequests: true}, table.Owner{FencingToken: tt.token}, 1)
			o.fetchReport(t.Context())
			now := time.Now()
			o.sched.SetMode(now, engine.Mode{})
			victim := ""
			for _, adapter := range []string{"m/a", "m/b", "m/c"} {
				o.sched.Submit(now, engine.Work{ID: adapter, Adapter: adapter, Short: true, ExpectedTokens: 1, Deadline: now.Add(time.Hour)})
				act, ok := o.sched.ApproveLoad(now)
				is.True(ok)
				victim = act.Victim
				o.sched.FinishLoad(now, engine.LoadResult{Adapter: adapter, Victim: victim, OK: true})
				o.sched.Release(now, adapter, false)
			}
			is.Equal(victim, tt.victim)
		})
	}
}

// Guards against an owner that keeps no slots free for late loads that the owners before handed on, and against one that
// keeps a slot free although the owner before released the engine and had none.
func TestOwnerReservesSlotsForLateLoadsThatWereHandedOn(t *testing.T) {
	late := func(expected int64, age time.Duration) table.LateLoad {
		return table.LateLoad{ExpectedSequence: expected, SentMS: time.Now().Add(-age).UnixMilli()}
	}
	for _, tt := range []struct {
		name string
		row  table.Owner
		want int
	}{
		{"released without any", table.Owner{LateLoadsKnown: true}, 0},
		{"not released", table.Owner{}, 1},
		{"released with two", table.Owner{LateLoadsKnown: true, LateLoads: []table.LateLoad{late(3, time.Second), late(4, time.Second)}}, 2},
		{"not released, with one that was written", table.Owner{LateLoads: []table.LateLoad{late(3, time.Second)}}, 2},
		{"released with an old one", table.Owner{LateLoadsKnown: true, LateLoads: []table.LateLoad{late(3, time.Minute)}}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := New(Config{
				Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual(),
				Sequencer: func(settings.BackendServer) *engine.Sequencer {
					return &engine.Sequencer{FetchState: func(context.Context) (engine.State, error) {
						return engine.State{Boot: "2", StartedAt: time.Now(), Sequence: 1, Models: []string{"m"}}, nil
					}}
				},
			})
			tt.row.FencingToken = 2
			o := newOwnedEngine(n, settings.BackendServer{Name: "e", Slots: 4, BaseModel: "m", UnloadWaitsForRequests: true}, tt.row, 1)
			o.fetchReport(t.Context())
			is.Equal(o.seq.ReservedSlots(time.Now()), tt.want)
			is.Equal(len(o.lateLoads(time.Now())), min(len(tt.row.LateLoads), tt.want))
		})
	}
}
