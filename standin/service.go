package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ServiceFault selects the failures of a [Service].
type ServiceFault struct {
	Down          bool
	Delay         time.Duration
	LoseResponses int // calls that are executed but get no response
}

// Service is a stand-in for a plain service, such as an order ledger. It counts the
// executions of each request body.
type Service struct {
	mu       sync.Mutex
	fault    ServiceFault
	executed map[string]int
}

// SetFault replaces the injected failures.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Executed returns the number of executions of each request body.
func (s *Service) Executed() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executed)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(fault.Delay)
	s.mu.Lock()
	if s.executed == nil {
		s.executed = make(map[string]int)
	}
	s.executed[string(body)]++
	loseResponse := s.fault.LoseResponses > 0
	if loseResponse {
		s.fault.LoseResponses--
	}
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"accepted":%q}`+"\n", body)
}
