package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanilladrift/vanilladrift/vmlist"
)

// VMList is a stand-in for the platform's list of VMs. A change becomes visible after
// Lag.
type VMList struct {
	Lag time.Duration

	mu      sync.Mutex
	states  map[string]vmlist.State
	pending []vmChange
}

type vmChange struct {
	vm        vmlist.VM
	visibleAt time.Time
}

// Set sets the actual state of a VM.
func (l *VMList) Set(address string, state vmlist.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{vmlist.VM{Address: address, State: state}, time.Now().Add(l.Lag)})
}

// ServeHTTP implements http.Handler. A POST with the form values address and
// state sets a state; a GET returns the list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		l.Set(r.FormValue("address"), vmlist.State(r.FormValue("state")))
		return
	}
	writeJSON(w, http.StatusOK, l.list())
}

func (l *VMList) list() vmlist.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = make(map[string]vmlist.State)
	}
	now := time.Now()
	l.pending = slices.DeleteFunc(l.pending, func(c vmChange) bool {
		if now.Before(c.visibleAt) {
			return false
		}
		l.states[c.vm.Address] = c.vm.State
		return true
	})
	var list vmlist.List
	for address, state := range l.states {
		list.VMs = append(list.VMs, vmlist.VM{Address: address, State: state})
	}
	slices.SortFunc(list.VMs, func(a, b vmlist.VM) int { return strings.Compare(a.Address, b.Address) })
	return list
}
