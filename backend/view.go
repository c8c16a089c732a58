package backend

// View is an immutable snapshot of a [Registry].
type View struct {
	byID  map[string]*Server
	pools map[string][]*Server
}

// IsDraining reports whether a server at the address is draining.
func (v *View) IsDraining(address string) bool {
	for _, s := range v.byID {
		if s.Address == address && s.Draining {
			return true
		}
	}
	return false
}

// Server returns the server with the given ID.
func (v *View) Server(id string) (*Server, bool) {
	if v == nil {
		return nil, false
	}
	s, ok := v.byID[id]
	return s, ok
}

// Pool returns the servers of a pool, including draining ones, sorted by ID. The
// caller must not modify them.
func (v *View) Pool(name string) []*Server {
	if v == nil {
		return nil
	}
	return v.pools[name]
}
