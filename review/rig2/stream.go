package rig2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Stream is one stream as its caller sees it, over all attempts.
type Stream struct {
	ID     string   // of the first attempt
	Events []Event  // in the order of their arrival
	Tries  []string // how each attempt ended
	Ended  bool     // the last attempt came to its end
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

// LastID returns the ID of the last event, or 0.
func (s *Stream) LastID() int {
	if len(s.Events) == 0 {
		return 0
	}
	return s.Events[len(s.Events)-1].ID
}

// Call sends one attempt of the stream to a node. A later attempt takes the stream up after its last event.
func (s *Stream) Call(address, model string, maxEvents int, timeout time.Duration) {
	id := fmt.Sprintf("%s-%d", s.ID, len(s.Tries)+1)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		s.Tries = append(s.Tries, "no connection")
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // the connection is open
	takeUp := ""
	if len(s.Events) > 0 {
		takeUp = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s-1\r\n", s.LastID(), s.ID)
	}
	fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Vanilladrift-Request-Id: %s\r\nX-Vanilladrift-Deadline-Ms: %d\r\n%s"+
		"X-Vanilladrift-Model-Id: %s\r\nX-Vanilladrift-Token-Counts: 100,%d\r\nX-Vanilladrift-Prompt-Prefix: ab:50,%x:50\r\nContent-Length: 0\r\n\r\n",
		id, timeout.Milliseconds(), takeUp, model, maxEvents, s.ID)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.Tries = append(s.Tries, "no response")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.Tries = append(s.Tries, "status "+strconv.Itoa(resp.StatusCode))
		return
	}
	lines := bufio.NewScanner(resp.Body)
	var e Event
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			e.ID, _ = strconv.Atoi(text) // the stand-in writes a number
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			e.Data = text
		}
		if line == "" && e.ID > 0 {
			s.Events = append(s.Events, e)
			e = Event{}
		}
	}
	if lines.Err() != nil {
		s.Tries = append(s.Tries, "broken off after event "+strconv.Itoa(s.LastID()))
		return
	}
	s.Ended = true
	s.Tries = append(s.Tries, "ended")
}
