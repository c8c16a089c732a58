package peer

import "sync"

// Registry records the grants that an entry node requests. A stream may be open only
// between [Registry.Start] and [Registry.End], so the streams that [Registry.Fence] and
// [Registry.Reconcile] report are all that can still use an engine under an older
// grant. The zero value is ready to use.
type Registry struct {
	mu      sync.Mutex
	engines map[string]*engineGrants
}

type engineGrants struct {
	highestToken int64 // highest fencing token seen
	grants       map[string]*grant
}

type grant struct {
	started bool
	revoked bool
	stream  Stream
}

// Stream is a grant in use.
type Stream struct {
	RequestID    string
	Adapter      string
	Short        bool
	FencingToken int64
}

// engine returns the grants of an engine. The caller must hold the lock.
func (r *Registry) engine(name string) *engineGrants {
	if r.engines == nil {
		r.engines = make(map[string]*engineGrants)
	}
	e := r.engines[name]
	if e == nil {
		e = &engineGrants{grants: make(map[string]*grant)}
		r.engines[name] = e
	}
	return e
}

// Register records that a grant is about to be requested.
func (r *Registry) Register(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine(engine).grants[id] = &grant{stream: Stream{RequestID: id}}
}

// Start marks a grant as in use. It fails with kind [Stale] if a higher fencing token
// was seen for the engine, and with kind [Revoked] if the grant was revoked or ended.
func (r *Registry) Start(engine, id string, token int64, adapter string, short bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engine(engine)
	g := e.grants[id]
	if token < e.highestToken {
		return &Error{Op: "start", Kind: StaleToken, Engine: engine, RequestID: id}
	}
	if g == nil || g.revoked {
		return &Error{Op: "start", Kind: Revoked, Engine: engine, RequestID: id}
	}
	e.highestToken = token
	g.started = true
	g.stream = Stream{RequestID: id, Adapter: adapter, Short: short, FencingToken: token}
	return nil
}

// End removes the record of a grant, whether the grant was started or not.
func (r *Registry) End(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engine(engine).grants, id)
}

// Fence makes later calls of [Registry.Start] fail for grants under a lower fencing
// token, and returns the streams in use under lower tokens.
func (r *Registry) Fence(engine string, token int64) []Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engine(engine)
	e.highestToken = max(e.highestToken, token)
	var streams []Stream
	for _, g := range e.grants {
		if g.started && g.stream.FencingToken < token {
			streams = append(streams, g.stream)
		}
	}
	return streams
}

// Reconcile returns the request IDs whose grants are in use, and revokes the other
// grants in the list, so that they can never start.
func (r *Registry) Reconcile(engine string, ids []string) (inUse []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engine(engine)
	for _, id := range ids {
		g := e.grants[id]
		switch {
		case g == nil:
		case g.started:
			inUse = append(inUse, id)
		default:
			g.revoked = true
		}
	}
	return inUse
}

// InUse returns the number of streams in use.
func (r *Registry) InUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.engines {
		for _, g := range e.grants {
			if g.started {
				n++
			}
		}
	}
	return n
}
