package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against a process that ends by itself: some witnesses of a fenced node have ended while others answer.
func TestPromisesBesideEndedWitnesses(t *testing.T) {
	is := is.New(t)
	n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, Clock: clock.Virtual()})
	self, _ := n.session.identity()
	var witnesses []table.Witness
	inForce := make(map[string]bool)
	for i := range 500 {
		ended := table.Witness{Session: fmt.Sprint("ended", i)}
		inForce[ended.Session] = true
		witnesses = append(witnesses, table.Witness{Session: self}, ended)
	}
	start := time.Now()
	for i, sessions := range []map[string]bool{inForce, nil, nil} {
		n.members.endedSessions.Read(sessions, start.Add(time.Duration(i)*(n.leaseTime()+time.Second)))
	}
	for range 200 {
		is.Equal(len(n.members.gatherPromises(t.Context(), member{}, witnesses)), 501)
	}
}
