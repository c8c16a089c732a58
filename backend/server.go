package backend

import "strconv"

// Server is a backend server as it describes itself.
type Server struct {
	ID          string
	StartMS     int64 // Unix ms of its start; another value is another incarnation, which holds nothing of before
	Pool        string
	Address     string // IP address and port
	DataCenter  string
	Concurrency int
	Draining    bool
	Models      []Model
	Sequence    int64 // orders that it has accepted
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

// Incarnation names one start of the server.
func (s *Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.StartMS, 10) }

// Holds reports whether the server says that it holds the adapter of a model.
func (s *Server) Holds(model, adapter string) bool {
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
