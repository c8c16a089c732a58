package standin

import (
	"net/http"

	"github.com/vanilladrift/vanilladrift/platform"
)

// replicaResponse adds to the head of a response what the replica states when it is sent.
type replicaResponse struct {
	http.ResponseWriter
	replica *Replica
	sent    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *replicaResponse) WriteHeader(status int) {
	w.replica.awaitSilence()
	if !w.sent {
		w.addHeaders()
	}
	w.sent = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *replicaResponse) addHeaders() {
	if w.replica.isDraining() {
		platform.SetDrainingHeader(w.Header())
	}
	if limit := w.replica.statedLimit(); limit != "" {
		platform.SetLimitHeader(w.Header(), limit)
	}
	if n := w.replica.statedRefusals(); n > 0 {
		platform.SetBrittleHeader(w.Header(), n)
	}
}

// Write implements http.ResponseWriter.
func (w *replicaResponse) Write(p []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	w.replica.awaitSilence()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *replicaResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }
