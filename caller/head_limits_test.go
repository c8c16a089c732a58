package caller_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/memory"
)

// Heads without end, over the limit or slow, and idle connections hold memory and descriptors. Callers
// inside the limits must meet none of them.
func TestHeadLimits(t *testing.T) {
	const (
		headBytes = 4 << 10
		headTime  = 3 * time.Second
		idle      = 15 * time.Second
		padding   = "X-Padding: "
		quick     = "GET /quick HTTP/1.1\r\nHost: a.example\r\n"
	)
	largest := quick + padding + strings.Repeat("x", headBytes-len(quick+padding+"\r\n\r\n")) + "\r\n\r\n"
	write := func(c net.Conn, parts ...string) {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return // the server has closed the connection
			}
		}
	}
	for _, tt := range []struct {
		name   string
		budget int64
		send   func(c net.Conn)
		status string // empty if the connection is closed without a response
		after  time.Duration
		reason string
	}{
		{"largest", 1 << 20, func(c net.Conn) { write(c, largest) }, "200 OK", 0, ""},
		{"largest, slowly", 1 << 20, func(c net.Conn) { write(c, largest[:1]); time.Sleep(headTime - 1); write(c, largest[1:]) }, "200 OK", headTime - 1, ""},
		{"idle for four fifths", 1 << 20, func(c net.Conn) { time.Sleep(idle * 4 / 5); write(c, largest) }, "200 OK", idle * 4 / 5, ""},
		{"too large", 1 << 20, func(c net.Conn) { write(c, largest[:len(largest)-2], padding, strings.Repeat("x", 8<<10)) }, "431 Request Header Fields Too Large", 0, "head-bytes"},
		{"without end", 1 << 20, func(c net.Conn) { write(c, largest[:len(largest)-2]) }, "408 Request Timeout", headTime + 100*time.Millisecond, "head-time"},
		{"one byte a second", 1 << 20, func(c net.Conn) {
			for i := range 10 { // more than are read
				write(c, largest[i:i+1])
				time.Sleep(time.Second)
			}
		}, "408 Request Timeout", headTime + 100*time.Millisecond, "head-time"},
		{"empty lines", 1 << 20, func(c net.Conn) { write(c, strings.Repeat("\r\n", 64<<10)) }, "400 Bad Request", 0, ""},
		{"silent", 1 << 20, func(net.Conn) {}, "", idle + 100*time.Millisecond, "idle"},
		{"out of memory", 1 << 10, func(c net.Conn) { write(c, largest) }, "503 Service Unavailable", 0, "memory"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var reasons []string
				budget := memory.NewBudget(tt.budget)
				rig := newServerRig(func(s *caller.Server) {
					s.HeadLimits = func() caller.HeadLimits {
						return caller.HeadLimits{Bytes: headBytes, Time: headTime, Idle: idle, Memory: budget, OnEnd: func(r string) { reasons = append(reasons, r) }}
					}
				})
				conn, r := rig.dial(t)
				start := time.Now()
				go tt.send(conn)
				var status string
				if _, err := r.Peek(1); err == nil {
					resp, err := http.ReadResponse(r, nil)
					is.NoErr(err)
					status = resp.Status
					is.True(resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "0.100")
				}
				is.Equal(status, tt.status)
				is.Equal(time.Since(start), tt.after)
				conn.Close()
				rig.stop()
				is.NoErr(<-rig.stopped)
				is.Equal(strings.Join(reasons, ","), tt.reason)
				is.Equal(budget.Used(), int64(0))
				time.Sleep(time.Hour) // until the sender has ended
			})
		})
	}
}
