package engine

import "time"

// Work is a request as the scheduler sees it.
type Work struct {
	ID             string
	Adapter        string // "adapter@version"
	EntryNode      string // the node that will open the stream
	Short          bool   // class of the request
	ExpectedTokens int    // expected output tokens
	PromptTokens   int    // prompt tokens
	Deadline       time.Time
	// FirstTokenDeadline is when the caller gives up waiting for the first token, and FirstTokenTarget
	// when the first token should have come; zero means that there is no such
	// time.
	FirstTokenDeadline time.Time
	FirstTokenTarget   time.Time
	// MaxWait is the longest queue wait that the entry node accepts here
	// before it asks another engine; zero accepts any wait.
	MaxWait time.Duration

	arrived time.Time
	service time.Duration // expected time in the batch
	reading time.Duration // of that, the time in which the prompt is read
	key     float64       // order in the queue, lower first
	index   int           // position in its heap
	granted time.Time
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

// tooLate reports whether the work cannot be served in time if it starts after
// the wait.
func (w *Work) tooLate(now time.Time, wait time.Duration) bool {
	if !w.FirstTokenDeadline.IsZero() && now.Add(wait+w.reading).After(w.FirstTokenDeadline) {
		return true
	}
	return now.Add(wait + w.service).After(w.Deadline)
}

// meetsAim reports whether the first token can come by FirstTokenTarget if the work starts
// after the wait.
func (w *Work) meetsAim(now time.Time, wait time.Duration) bool {
	return !w.FirstTokenTarget.IsZero() && !now.Add(wait+w.reading).After(w.FirstTokenTarget)
}

// Age returns how long ago the work was granted.
func (w Work) Age(now time.Time) time.Duration { return now.Sub(w.granted) }
