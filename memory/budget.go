package memory

import "sync"

const (
	// SmallBytes is the size up to which a holding is small. An ordinary request, with a prompt of
	// 9,190 tokens and what it holds beside its body, is smaller.
	SmallBytes = 96 << 10
	// largeShare and callerShare are the parts of a budget that large holdings, and all of callers,
	// may take, in sixteenths.
	largeShare  = 12
	callerShare = 15
	shares      = 16
)

// Class tells whose holding it is.
type Class int

// The classes.
const (
	OfCaller Class = iota
	OfPeer         // nodes, operators and the load balancer
)

// Budget is the memory that clients may make the process hold. A nil or zero budget has no limit. It
// is safe for concurrent use.
type Budget struct {
	total int64 // 0 for no limit

	mu       sync.Mutex
	used     int64
	large    int64 // in large holdings of callers
	refusals int64
}

// NewBudget returns a budget of the given size. It has no limit if the size is 0.
func NewBudget(bytes int64) *Budget { return &Budget{total: bytes} }

// Total returns the size of the budget, or 0 if it has no limit.
func (b *Budget) Total() int64 {
	if b == nil {
		return 0
	}
	return b.total
}

// Used returns what is held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Refusals returns how often a holding could not grow.
func (b *Budget) Refusals() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusals
}

// Hold returns an empty holding.
func (b *Budget) Hold(c Class) *Holding { return &Holding{budget: b, class: c} }

// fits reports whether a holding may grow by n bytes. b.mu must be held.
func (b *Budget) fits(h *Holding, n int64) bool {
	if b.total <= 0 {
		return true
	}
	if h.class == OfPeer {
		return b.used+n <= b.total
	}
	after := h.largeAt(h.bytes + n)
	return b.used+n <= b.total/shares*callerShare &&
		(after == 0 || b.large-h.largeAt(h.bytes)+after <= b.total/shares*largeShare)
}

// Holding is what one request or connection holds of a budget. A nil or zero holding has no limit.
type Holding struct {
	budget *Budget
	class  Class
	bytes  int64 // guarded by the mutex of budget
}

// largeAt returns how much of the share of large holdings it takes with the given size.
func (h *Holding) largeAt(bytes int64) int64 {
	if h.class == OfPeer || bytes <= SmallBytes {
		return 0
	}
	return bytes
}

// Fits reports whether the holding could grow by n bytes now.
func (h *Holding) Fits(n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.budget.fits(h, n) {
		h.budget.refusals++
		return false
	}
	return true
}

// Grow adds n bytes, and reports whether they fit. If they do not, nothing is added.
func (h *Holding) Grow(n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(h, n) {
		b.refusals++
		return false
	}
	h.set(h.bytes + n)
	return true
}

// ShrinkTo lowers the holding to the given size.
func (h *Holding) ShrinkTo(bytes int64) {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if bytes < h.bytes {
		h.set(bytes)
	}
}

// Release returns all that is held.
func (h *Holding) Release() { h.ShrinkTo(0) }

// set changes the size. The mutex of the budget must be held.
func (h *Holding) set(bytes int64) {
	h.budget.used += bytes - h.bytes
	h.budget.large += h.largeAt(bytes) - h.largeAt(h.bytes)
	h.bytes = bytes
}
