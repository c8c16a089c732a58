package engine

import (
	"time"

	"github.com/vanilladrift/vanilladrift/schedule"
)

// Work is a request to a [Scheduler].
type Work struct {
	ID             string
	Adapter        string // "adapter@version"
	EntryNode      string // the node that opens the stream; at an owner, the process of that node
	Short          bool   // short or long class
	Resumed        bool   // the caller has the first part of the stream
	Priority       int    // 0 is the highest
	Account        string // client account; empty if there is none
	Stream         string // key of the attempt, if it is one of a stream that can be resumed
	ExpectedTokens int    // expected number of output tokens
	PromptTokens   int
	Deadline       time.Time
	// FirstTokenDeadline is when the caller gives up waiting for the first token,
	// and FirstTokenTarget is the target time of the first token. Zero means no
	// limit.
	FirstTokenDeadline time.Time
	FirstTokenTarget   time.Time
	// MaxWait is the longest queue wait that the entry node accepts before it
	// tries another engine; zero accepts any wait.
	MaxWait time.Duration

	arrivedAt   time.Time
	serviceTime time.Duration    // expected time in the batch, including the prefill
	prefill     time.Duration    // expected time of the prefill
	key         float64          // queue key, in seconds unless by cost; lower keys go first
	request     schedule.Request // by cost
	level       int              // by cost: the whole level of the key
	index       int              // position in its heap
	grantedAt   time.Time
}

// workHeap orders the waiting work of one adapter by key.
type workHeap []*Work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h workHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *workHeap) Push(x any) {
	w := x.(*Work)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *workHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// missesDeadline reports whether the work would miss a deadline if it started
// after the given wait. The length of a stream is an estimate, which is often far off; one whose
// first part the caller has goes on as long as it can bring more.
func (w *Work) missesDeadline(now time.Time, wait time.Duration) bool {
	if !w.FirstTokenDeadline.IsZero() && now.Add(wait+w.prefill).After(w.FirstTokenDeadline) {
		return true
	}
	needed := w.serviceTime
	if w.Resumed {
		needed = w.prefill
	}
	return now.Add(wait + needed).After(w.Deadline)
}

// cannotWait reports whether the work should not be queued for the given wait: longer than its
// entry node accepts, or too long for a deadline or its target.
func (w *Work) cannotWait(now time.Time, wait time.Duration) bool {
	return w.MaxWait > 0 && wait > w.MaxWait || w.missesDeadline(now, wait) || !w.FirstTokenTarget.IsZero() && !w.meetsTarget(now, wait)
}

// meetsTarget reports whether the work would meet its first token target if it
// started after the given wait.
func (w *Work) meetsTarget(now time.Time, wait time.Duration) bool {
	return !w.FirstTokenTarget.IsZero() && !now.Add(wait+w.prefill).After(w.FirstTokenTarget)
}

// IsPromoted reports whether the work went before more urgent work, in the turn of its priority.
func (w *Work) IsPromoted() bool { return w.request.Promoted }

// tokens returns the expected number of tokens that the work takes of the engine's memory.
func (w *Work) tokens() int { return w.PromptTokens + w.ExpectedTokens }

// Age returns the time since the work was granted.
func (w Work) Age(now time.Time) time.Duration { return now.Sub(w.grantedAt) }
