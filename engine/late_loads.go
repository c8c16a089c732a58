package engine

import (
	"slices"
	"sync"
	"time"
)

// LateLoad is a load command without a reply, which the engine may still execute.
type LateLoad struct {
	ExpectedSequence int64
	SentAt           time.Time
}

// mayExecute reports whether the engine may still execute the command.
func (l LateLoad) mayExecute(now time.Time) bool { return now.Sub(l.SentAt) <= maxCommandDelay }

// LateLoads is the load commands without a reply that may still be executed, of all that have owned the engine.
// The zero value is ready to use. It is safe for concurrent use.
type LateLoads struct {
	mu   sync.Mutex
	list []LateLoad
}

// Add records a load command without a reply. Of several that expect the same sequence number, the engine
// executes one at most between two restarts, so the last one stands for all.
func (l *LateLoads) Add(load LateLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.list, func(other LateLoad) bool { return other.ExpectedSequence == load.ExpectedSequence })
	switch {
	case i < 0:
		l.list = append(l.list, load)
	case load.SentAt.After(l.list[i].SentAt):
		l.list[i] = load
	}
}

// Pending returns the commands that may still be executed.
func (l *LateLoads) Pending(now time.Time) []LateLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(load LateLoad) bool { return !load.mayExecute(now) })
	return slices.Clone(l.list)
}
