package standin

import (
	"io"
	"net/http"
	"time"
)

// Drip selects streams that stall: they make no progress, but send some bytes now and
// then and stay open until their client closes the connection.
type Drip struct {
	Streams  int           // number of streams that stall; decremented for each
	After    int           // number of whole events before
	Text     string        // sent at each Interval; a stream without one is silent. An [Engine] replaces {id} and {model}
	Interval time.Duration // time between two sendings of Text
	Length   time.Duration // after which the stream goes on with its events; 0 means never
}

// take reports whether the next stream stalls.
func (d *Drip) take() (Drip, bool) {
	if d.Streams == 0 {
		return Drip{}, false
	}
	d.Streams--
	return *d, true
}

// write stalls until the drip ends or the client has closed the connection, and reports
// whether the stream goes on.
func (d Drip) write(w http.ResponseWriter, r *http.Request) (goesOn bool) {
	var end <-chan time.Time
	if d.Length > 0 {
		end = time.After(d.Length)
	}
	rc := http.NewResponseController(w)
	for {
		if _, err := io.WriteString(w, d.Text); err != nil || rc.Flush() != nil {
			return false
		}
		select {
		case <-time.After(d.Interval):
		case <-end:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
