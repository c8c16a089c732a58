package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// ObjectStore is a stand-in for the object store.
type ObjectStore struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
}

// SetDown starts or ends an outage.
func (o *ObjectStore) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// ServeHTTP implements http.Handler.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stored, status := o.apply(r.Method, key, value)
	w.WriteHeader(status)
	_, _ = w.Write(stored) // an error means that the client closed the connection
}

func (o *ObjectStore) apply(method, key string, value []byte) (stored []byte, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, http.StatusServiceUnavailable
	}
	if method == http.MethodPut {
		if o.objects == nil {
			o.objects = make(map[string][]byte)
		}
		o.objects[key] = value
		return nil, http.StatusOK
	}
	stored, ok := o.objects[key]
	if !ok {
		return nil, http.StatusNotFound
	}
	return stored, http.StatusOK
}
