package backend

// View is an immutable snapshot of a [Registry].
type View struct {
	byID  map[string]*Server
	pools map[string][]*Server
}

// IsUsable reports whether a server is registered at the address and none there is
// draining.
func (v *View) IsUsable(address string) bool {
	found := false
	for _, s := range v.byID {
		if s.Address != address {
			continue
		}
		if s.Draining {
			return false
		}
		found = true
	}
	return found
}

// Addresses returns the addresses of all servers.
func (v *View) Addresses() map[string]bool {
	addresses := make(map[string]bool, len(v.byID))
	for _, s := range v.byID {
		addresses[s.Address] = true
	}
	return addresses
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
