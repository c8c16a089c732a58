package peer

import "sync"

// Registry is an entry node's record of grants. A stream may be opened only
// between [Registry.Start] and [Registry.End], so what [Registry.Bar] and
// [Registry.Reconcile] report is all that can still use an engine under an
// older grant. The zero value is ready to use.
type Registry struct {
	mu      sync.Mutex
	engines map[string]*engineGrants
}

type engineGrants struct {
	token  int64 // highest fencing token heard
	grants map[string]*grant
}

type grant struct {
	started bool
	barred  bool
	stream  Stream
}

// Stream is a grant in use.
type Stream struct {
	RequestID    string
	Adapter      string
	ShortClass   bool
	FencingToken int64
}

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

// Register announces that a grant will be asked for.
func (r *Registry) Register(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine(engine).grants[id] = &grant{stream: Stream{RequestID: id}}
}

// Start puts a grant to use. It fails when a later owner has barred it.
func (r *Registry) Start(engine, id string, token int64, adapter string, short bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engine(engine)
	g := e.grants[id]
	if token < e.token {
		return &Error{Op: "start", Kind: Stale, Engine: engine, RequestID: id}
	}
	if g == nil || g.barred {
		return &Error{Op: "start", Kind: Revoked, Engine: engine, RequestID: id}
	}
	e.token = token
	g.started = true
	g.stream = Stream{RequestID: id, Adapter: adapter, ShortClass: short, FencingToken: token}
	return nil
}

// End gives a grant up, whether it was started or not.
func (r *Registry) End(engine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engine(engine).grants, id)
}

// Fence refuses grants under a lower token from now on and returns the streams
// in use under lower tokens.
func (r *Registry) Fence(engine string, token int64) []Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engine(engine)
	e.token = max(e.token, token)
	var list []Stream
	for _, g := range e.grants {
		if g.started && g.stream.FencingToken < token {
			list = append(list, g.stream)
		}
	}
	return list
}

// Reconcile returns which of the ids are in use, and makes sure that the
// others never start.
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
			g.barred = true
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
