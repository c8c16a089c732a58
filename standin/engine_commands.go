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

// serveCommand decodes a command, checks its fencing token and applies it.
func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request, apply func(name string) (int, string)) {
	var cmd engine.AdapterCommand
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		writeError(w, http.StatusBadRequest, "bad-order")
		return
	}
	token, err := strconv.ParseInt(r.Header.Get(engine.HeaderFencingToken), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-token")
		return
	}
	if !e.admitCommand(r, token) {
		writeError(w, http.StatusConflict, "stale-token")
		return
	}
	if status, kind := apply(cmd.Name); status != http.StatusOK {
		writeError(w, status, kind)
	}
}

// admitCommand records a command and its fencing token, and reports whether the command
// may be applied.
func (e *Engine) admitCommand(r *http.Request, token int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && token < e.fencingToken {
		e.record.StaleOrders++
		e.recordCommand(r, token, engine.StaleToken)
		return false
	}
	e.fencingToken = max(e.fencingToken, token)
	e.recordCommand(r, token, engine.Accepted)
	return true
}

// turnAwayCommand records a command that is turned away before it is looked at. It
// ignores other requests.
func (e *Engine) turnAwayCommand(r *http.Request) {
	token, err := strconv.ParseInt(r.Header.Get(engine.HeaderFencingToken), 10, 64)
	if err != nil || r.URL.Path == engine.PathCancel {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordCommand(r, token, "")
}

// recordCommand records the arrival of a command. e.mu must be held.
func (e *Engine) recordCommand(r *http.Request, token int64, reply engine.Reply) {
	a := Arrival{FencingToken: token, At: time.Now(), Reply: reply, Incarnation: int64(e.bootCount)}
	if e.SenderOf != nil {
		a.Sender = e.SenderOf(r)
	}
	e.record.Commands = append(e.record.Commands, a)
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
		e.unloadLocked(slices.Sorted(maps.Keys(e.loaded))[0])
	}
	if e.loaded == nil {
		e.loaded = make(map[string]bool)
	}
	e.loaded[name] = true
	e.record.Loads++
	return http.StatusOK, ""
}

func (e *Engine) unload(name string) (int, string) {
	if e.OnUnload != nil {
		e.OnUnload(name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unloadLocked(name)
	return http.StatusOK, ""
}

// unloadLocked unloads an adapter and ends the streams that use it. e.mu must be
// held.
func (e *Engine) unloadLocked(name string) {
	if !e.loaded[name] {
		return
	}
	delete(e.loaded, name)
	e.record.Unloads++
	inUse := false
	for _, s := range e.streams {
		if s.model == name && !s.ended {
			inUse = true
			e.endStream(s)
		}
	}
	if inUse {
		e.record.EvictedInUse++
	}
}
