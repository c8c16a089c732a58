package backend

// maxFormer bounds the incarnations that are remembered after their removal. At least the
// latest maxFormer/2 are.
const maxFormer = 4096

// formerIncarnations remembers the incarnations that are no longer registered, and
// whether they were draining. The zero value is empty.
type formerIncarnations struct {
	recent, older map[string]bool // by incarnation
}

// add remembers an incarnation. One that was draining stays so.
func (f *formerIncarnations) add(s *Server) {
	draining := s.Draining || f.wasDraining(s)
	if f.recent == nil || len(f.recent) >= maxFormer/2 {
		f.recent, f.older = make(map[string]bool), f.recent
	}
	f.recent[s.Incarnation()] = draining
}

// wasDraining reports whether an incarnation was draining when it was removed.
func (f *formerIncarnations) wasDraining(s *Server) bool {
	key := s.Incarnation()
	return f.recent[key] || f.older[key]
}

// has reports whether an incarnation is remembered.
func (f *formerIncarnations) has(s *Server) bool {
	key := s.Incarnation()
	_, recent := f.recent[key]
	_, older := f.older[key]
	return recent || older
}

// remove forgets an incarnation that is registered again.
func (f *formerIncarnations) remove(s *Server) {
	key := s.Incarnation()
	delete(f.recent, key)
	delete(f.older, key)
}
