package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, apply func(name string) (int, string)) {
	var o engine.AdapterCommand
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		fail(w, http.StatusBadRequest, "bad-order")
		return
	}
	token, err := strconv.ParseInt(r.Header.Get(engine.HeaderFencingToken), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad-token")
		return
	}
	if !e.admitToken(token) {
		fail(w, http.StatusConflict, "stale-token")
		return
	}
	if status, kind := apply(o.Name); status != http.StatusOK {
		fail(w, status, kind)
	}
}

func (e *Engine) admitToken(token int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && token < e.token {
		e.seen.StaleOrders++
		return false
	}
	e.token = max(e.token, token)
	return true
}

func (e *Engine) load(name string) (int, string) {
	time.Sleep(e.Timing.AdapterLoad)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.FailLoads > 0 {
		e.fault.FailLoads--
		return http.StatusInternalServerError, "load-failed"
	}
	if e.loaded[name] {
		return http.StatusOK, ""
	}
	if len(e.loaded) >= e.Slots {
		if !e.EvictsWhenFull {
			return http.StatusInsufficientStorage, "no-free-slot"
		}
		e.drop(slices.Sorted(maps.Keys(e.loaded))[0])
	}
	if e.loaded == nil {
		e.loaded = make(map[string]bool)
	}
	e.loaded[name] = true
	e.seen.Loads++
	return http.StatusOK, ""
}

func (e *Engine) unload(name string) (int, string) {
	if e.OnUnload != nil {
		e.OnUnload(name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(name)
	return http.StatusOK, ""
}

func (e *Engine) drop(name string) {
	if !e.loaded[name] {
		return
	}
	delete(e.loaded, name)
	e.seen.Unloads++
	used := false
	for _, s := range e.streams {
		if s.model == name && !s.ended {
			used = true
			e.end(s)
		}
	}
	if used {
		e.seen.EvictedInUse++
	}
}
