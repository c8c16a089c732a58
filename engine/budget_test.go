package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBudgetKeepsRateAndParallel(t *testing.T) {
	is := is.New(t)
	b := LoadBudget{Rate: 3, Parallel: 2}
	for i := range 100 {
		b.Request(t0, LoadRequest{ID: fmt.Sprint(i), Demand: 1})
	}
	var granted []time.Time
	active := map[string]time.Time{}
	for now := t0; now.Before(t0.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for id, end := range active {
			if now.After(end) {
				b.Finish(id)
				delete(active, id)
			}
		}
		if id, ok, _ := b.Next(now); ok {
			granted = append(granted, now)
			active[id] = now.Add(250 * time.Millisecond)
		}
		is.True(len(active) <= 2)
	}
	is.True(len(granted) >= 29 && len(granted) <= 31)
}

func TestBudgetPrefersDemand(t *testing.T) {
	is := is.New(t)
	b := LoadBudget{Rate: 1, Parallel: 1}
	b.Request(t0, LoadRequest{ID: "one", Demand: 1})
	b.Request(t0, LoadRequest{ID: "many", Demand: 50})
	id, ok, _ := b.Next(t0)
	is.True(ok)
	is.Equal(id, "many")
}

func TestBudgetGivesBack(t *testing.T) {
	is := is.New(t)
	b := LoadBudget{Rate: 1, Parallel: 1}
	b.Request(t0, LoadRequest{ID: "unwanted"})
	b.Request(t0, LoadRequest{ID: "wanted"})
	_, ok, _ := b.Next(t0)
	is.True(ok)
	b.Refund("unwanted")
	id, ok, _ := b.Next(t0)
	is.True(ok)
	is.Equal(id, "wanted")
}
