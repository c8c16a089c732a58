package backend

import "strconv"

// Server describes a backend server, as in the row that it writes.
type Server struct {
	ID          string
	StartMS     int64 // start time in Unix ms; it changes with each incarnation, which starts empty
	Pool        string
	Address     string // IP address and port
	DataCenter  string
	Build       string // version of its software
	MaxRequests int    // requests that the server runs at once
	Draining    bool
	Models      []Model
	Sequence    int64 // number of accepted commands
}

// Model is a base model in a server's memory, with its adapters.
type Model struct {
	Name     string
	Version  int64
	Adapters []Adapter
}

// Adapter is one adapter in a server's memory.
type Adapter struct {
	Name    string
	Version int64
}

// Incarnation returns an identifier of this start of the server.
func (s *Server) Incarnation() string { return s.ID + "/" + s.Boot() }

// Boot returns the boot ID of this start, as in the reports of an engine.
func (s *Server) Boot() string { return strconv.FormatInt(s.StartMS, 10) }

// HasLoaded reports whether the server's row lists the adapter of the model, or the
// model itself if the adapter is empty.
func (s *Server) HasLoaded(model, adapter string) bool {
	for _, m := range s.Models {
		if m.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a.Name == adapter {
				return true
			}
		}
	}
	return false
}
