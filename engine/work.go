package engine

import "time"

// Work is a request as the scheduler sees it.
type Work struct {
	ID       string
	Adapter  string // "adapter@version"
	Entry    string // the node that will open the stream
	Short    bool   // class of the request
	Tokens   int    // expected output tokens
	Prompt   int    // prompt tokens
	Deadline time.Time
	// FirstBy is when the caller gives up waiting for the first token, and AimBy
	// when the first token should have come; zero means that there is no such
	// time.
	FirstBy time.Time
	AimBy   time.Time
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
	if !w.FirstBy.IsZero() && now.Add(wait+w.reading).After(w.FirstBy) {
		return true
	}
	return now.Add(wait + w.service).After(w.Deadline)
}

// meetsAim reports whether the first token can come by AimBy if the work starts
// after the wait.
func (w *Work) meetsAim(now time.Time, wait time.Duration) bool {
	return !w.AimBy.IsZero() && !now.Add(wait+w.reading).After(w.AimBy)
}

// Age returns how long ago the work was granted.
func (w Work) Age(now time.Time) time.Duration { return now.Sub(w.granted) }
