package node

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// lineCounter counts the lines of a log that contain a text.
type lineCounter struct {
	text string
	mu   sync.Mutex
	n    int
}

// Write implements io.Writer.
func (c *lineCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += bytes.Count(p, []byte(c.text))
	return len(p), nil
}

func (c *lineCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// Guards against the requests of other nodes that an owner refuses and that take its processor, while
// it rejects only the requests of its callers.
func TestRefusedRequestsOfNodesAreBounded(t *testing.T) {
	const asks = 1000 // one a millisecond
	for _, overloaded := range []bool{false, true} {
		t.Run(fmt.Sprintf("overloaded %v", overloaded), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				refused := &lineCounter{text: "admission refused"}
				var overloadedNode atomic.Value
				c := startLeaseCluster(&leaseCluster{table: &standin.Table{}, configure: func(cfg *Config) {
					name := cfg.Name
					cfg.Log = log.New(refused) // only owners write the line
					cfg.IsOverloaded = func(time.Time) bool { return overloadedNode.Load() == name }
				}}, 2, 1)
				defer c.close()
				time.Sleep(10 * time.Second)
				owner, _ := c.ownerOf("e0")
				is.True(owner != nil)
				other := c.nodes[0]
				if other == owner {
					other = c.nodes[1]
				}
				if overloaded {
					overloadedNode.Store(owner.cfg.Name)
				}
				before := refused.count()
				for i := range asks {
					w := engine.Work{ID: fmt.Sprintf("w%d", i), Adapter: "m/a1", Deadline: time.Now().Add(5 * time.Second), MaxWait: 50 * time.Millisecond}
					_, err := other.acquireGrant(t.Context(), "e0", w)
					is.True(err != nil) // the engine cannot be reached
					time.Sleep(time.Millisecond)
				}
				reached := refused.count() - before
				t.Logf("%d of %d requests reached the owner", reached, asks)
				is.True(reached > 0)
				is.True(reached <= asks/100+1) // one per delay of a node that waits for an owner
			})
		})
	}
}

// Guards against refusals that are held for work to which they do not apply.
func TestHeldRefusalIsForLikeWork(t *testing.T) {
	now := time.Unix(100, 0)
	const hold = 300 * time.Millisecond
	work := func(left, maxWait time.Duration) *engine.Work {
		return &engine.Work{Deadline: now.Add(left), MaxWait: maxWait}
	}
	refused := work(2*time.Second, 50*time.Millisecond)
	for _, tt := range []struct {
		name   string
		reason engine.RefusalReason
		stated time.Duration
		after  time.Duration
		work   *engine.Work
		held   bool
		nodes  int // 0 means 2
	}{
		{"same wait", engine.Overflow, hold, 0, refused, true, 0},
		{"accepts a longer wait", engine.Overflow, hold, 0, work(2*time.Second, 60*time.Millisecond), false, 0},
		{"accepts any wait", engine.Overflow, hold, 0, work(2*time.Second, 0), false, 0},
		{"sooner deadline", engine.DeadlineUnmet, hold, 0, work(time.Second, 0), true, 0},
		{"later deadline", engine.DeadlineUnmet, hold, 0, work(3*time.Second, 0), false, 0},
		{"time is over", engine.Overflow, hold, hold, refused, false, 0},
		{"owner has processor time", engine.Overflow, 0, 0, refused, false, 0},
		{"owner has processor time and recovers", engine.Recovering, 0, caller.OwnerChangeDelay - 1, refused, true, 0},
		{"recovery may be over", engine.Recovering, 0, caller.OwnerChangeDelay, refused, false, 0},
		{"many nodes wait for recovery", engine.Recovering, 0, 2 * caller.OwnerChangeDelay, refused, true, 100},
		{"of another adapter", engine.Cold, hold, 0, refused, false, 0},
		{"of another load", engine.LoadFailed, hold, 0, refused, false, 0},
		{"longest time", engine.QueueFull, time.Hour, maxHoldTime, refused, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r heldRefusals
			r.hold(now, "e", "owner", refused, caller.Refusal{Reason: tt.reason, QueueWait: time.Second}, tt.stated, cmp.Or(tt.nodes, 2))
			got, held := r.get(now.Add(tt.after), "e", "owner", tt.work)
			is.Equal(held, tt.held)
			if held {
				is.Equal(got.Reason, tt.reason)
			}
			_, held = r.get(now, "other", "owner", refused)
			is.True(!held)
			_, held = r.get(now, "e", "next owner", refused)
			is.True(!held)
		})
	}
	is := is.New(t)
	is.Equal(statedHoldTime(http.Header{headerHoldTime: {"20"}}), 20*time.Millisecond)
	is.Equal(statedHoldTime(http.Header{headerHoldTime: {"-1"}}), time.Duration(0))
}

// Guards against a held refusal of work that can wait, by which a node refuses work that an engine
// would take: more urgent, of another account than the one above its share, or with more time.
func TestHeldRefusalByCost(t *testing.T) {
	now := time.Unix(100, 0)
	refused := engine.Work{Priority: 4, Account: "a", PromptTokens: 1000, Deadline: now.Add(2 * time.Second), FirstTokenTarget: now.Add(time.Second)}
	for _, tt := range []struct {
		name    string
		refusal caller.Refusal
		change  func(w *engine.Work)
		held    bool
	}{
		{"like work", caller.Refusal{Reason: engine.DeadlineUnmet}, func(*engine.Work) {}, true},
		{"less urgent", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.Priority = 5 }, true},
		{"more urgent", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.Priority = 3 }, false},
		{"more urgent, of an owner without processor time", caller.Refusal{Reason: engine.QueueFull}, func(w *engine.Work) { w.Priority = 0 }, false},
		{"more urgent, while the engine recovers", caller.Refusal{Reason: engine.Recovering}, func(w *engine.Work) { w.Priority = 3 }, true},
		{"stream has begun", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.Resumed = true }, false},
		{"much shorter prompt", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.PromptTokens = 100 }, false},
		{"more time until the target", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.FirstTokenTarget = now.Add(1100 * time.Millisecond) }, false},
		{"no target", caller.Refusal{Reason: engine.DeadlineUnmet}, func(w *engine.Work) { w.FirstTokenTarget = time.Time{} }, false},
		{"same account above its share", caller.Refusal{Reason: engine.DeadlineUnmet, Account: "a"}, func(*engine.Work) {}, true},
		{"other account", caller.Refusal{Reason: engine.DeadlineUnmet, Account: "a"}, func(w *engine.Work) { w.Account = "b" }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var r heldRefusals
			tt.refusal.ByCost = true
			r.hold(now, "e", "owner", &refused, tt.refusal, 200*time.Millisecond, 2)
			w := refused
			tt.change(&w)
			_, held := r.get(now, "e", "owner", &w)
			is.New(t).Equal(held, tt.held)
		})
	}
}
