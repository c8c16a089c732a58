//go:build !race

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/relay"
	"github.com/vanilladrift/vanilladrift/standin"
)

// The tests of this file guard against clients that make a process hold more than its VM has.
// The process is not limited by the kernel here, so that a test shows how much it would use.
const (
	// hostileMemoryMB and hostileFiles are the limits that the settings file states, and the
	// bounds on resident memory and open descriptors.
	hostileMemoryMB = 128
	hostileFiles    = 600
	// hostileCrowd is the number of clients that send too much, and hostileSilent of those that
	// send nothing: more than the process has descriptors.
	hostileCrowd  = 400
	hostileSilent = 800
	// hostileHeadBytes and hostileBodyBytes are the limits of the configuration.
	hostileHeadBytes = 16 << 10
	hostileBodyBytes = 2 << 20
	// hostileSampling is the time between two samples of what the process holds.
	hostileSampling = 20 * time.Millisecond
	// hostileEnd ends a test of a process that hangs.
	hostileEnd = 60 * time.Second
)

var hostileConfig = fmt.Sprintf(`{"version": 1, "routes": [
  {"name": "chat", "host": "a.example", "prefix": "/chat/", "type": "stream", "timeout_ms": 600000, "target_latency_ms": 500, "gap_aim_ms": 250, "service": "engines", "max_attempts": 2},
  {"name": "fast", "host": "a.example", "prefix": "/fast/", "type": "non_idempotent", "timeout_ms": 600000, "target_latency_ms": 300, "service": "fast", "max_attempts": 1}],
 "services": [
  {"name": "engines", "max_connections": 20, "engine": {"slots": 4, "kv_capacity": 250000, "adapter_slots": 4, "stride": 1, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.1}]}},
  {"name": "fast", "max_connections": 20}],
 "limits": {"max_header_bytes": %d, "max_body_bytes": %d, "header_timeout_ms": 1000, "idle_timeout_ms": 2000}}`, hostileHeadBytes, hostileBodyBytes)

// hostilePlatform is a platform with one daemon, whose memory and descriptors are sampled.
type hostilePlatform struct {
	*stopPlatform
	daemon  *stopDaemon
	conns   []net.Conn
	stop    chan struct{}
	sampled sync.WaitGroup

	mu         sync.Mutex
	mostMemory int // in MB
	mostFiles  int
}

func startHostile(t *testing.T) *hostilePlatform {
	t.Helper()
	p := &hostilePlatform{stop: make(chan struct{}), stopPlatform: &stopPlatform{
		t: t, limits: fmt.Sprintf("memory_mb: %d, max_fds: %d", hostileMemoryMB, hostileFiles), warm: []string{"chat", "fast"},
	}}
	p.start(1, hostileConfig, []*standin.Replica{
		{Self: backend.Server{Pool: "engines", MaxRequests: 4}, Model: "base"},
		{Self: backend.Server{Pool: "fast", MaxRequests: 20}, EventTime: time.Millisecond},
	})
	p.daemon = p.daemons[0]
	p.sampled.Go(func() {
		for {
			select {
			case <-p.stop:
				return
			case <-time.After(hostileSampling):
				p.sample()
			}
		}
	})
	return p
}

// sample records what the process holds. A process that has ended holds nothing.
func (p *hostilePlatform) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.daemon.cmd.Process.Pid)
	status, _ := os.ReadFile(dir + "status")
	files, _ := os.ReadDir(dir + "fd")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mostFiles = max(p.mostFiles, len(files))
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0]) // the kernel writes a number
			p.mostMemory = max(p.mostMemory, kb>>10)
		}
	}
}

// send lets a crowd of clients connect, each write its bytes, and stay open. If they meet, each
// waits between the two functions until all have ended the first.
func (p *hostilePlatform) send(address string, crowd int, first, second func(w io.Writer, i int)) {
	p.t.Helper()
	var wg, met sync.WaitGroup
	var mu sync.Mutex
	met.Add(crowd)
	for i := range crowd {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, hostileEnd)
			if err != nil {
				met.Done()
				return // refusing a connection is allowed
			}
			mu.Lock()
			p.conns = append(p.conns, conn)
			mu.Unlock()
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)            // less to send until the kernel's buffers are full
			_ = conn.SetWriteDeadline(time.Now().Add(hostileEnd / 3)) // nobody need read what is sent
			first(conn, i)
			met.Done()
			if second != nil {
				met.Wait()
				second(conn, i)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * hostileSampling) // the process reads what has arrived
}

// leave ends the connections of the crowd.
func (p *hostilePlatform) leave() {
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// check checks that an ordinary request is answered while the crowd is still there, and that the
// process lives and has held no more than its VM has. It comes again as callers do.
func (p *hostilePlatform) check(path string) {
	p.t.Helper()
	for i, start := 0, time.Now(); ; i++ {
		a := p.request(p.daemon, path, fmt.Sprintf("ordinary-%d-%d", len(p.conns), i), 2)
		if a.status == http.StatusOK && a.err == nil {
			break
		}
		if time.Since(start) > hostileEnd {
			p.t.Errorf("an ordinary request is not answered: %v", a)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	select {
	case <-p.daemon.exited:
		p.t.Errorf("the process ended: %v", p.daemon.err)
	default:
	}
	p.mu.Lock()
	memory, files := p.mostMemory, p.mostFiles
	p.mu.Unlock()
	if memory > hostileMemoryMB {
		p.t.Errorf("resident memory: %d MB, of %d MB that the VM has", memory, hostileMemoryMB)
	}
	if files > hostileFiles {
		p.t.Errorf("open descriptors: %d, of %d that the VM has", files, hostileFiles)
	}
	p.t.Logf("most resident memory %d MB, most open descriptors %d", memory, files)
}

func (p *hostilePlatform) finish(path string) {
	p.t.Helper()
	p.check(path)
	p.leave()
	close(p.stop)
	p.sampled.Wait()
}

// hostileHead returns a head of a request that promises a body in the given way.
func hostileHead(i int, framing string) string {
	return hostileRequest("fast", relay.RequestHead{ID: fmt.Sprint("hostile-", i)}, framing)
}

// hostileRequest returns a head of a request whose deadline is after the end of any test.
func hostileRequest(path string, head relay.RequestHead, framing string) string {
	h := http.Header{}
	head.Timeout = 10 * hostileEnd
	platform.EncodeRequestHead(h, head)
	var b strings.Builder
	_ = h.Write(&b) // a builder returns no error
	return "POST /" + path + "/ HTTP/1.1\r\nHost: a.example\r\n" + framing + "\r\n" + b.String() + "\r\n"
}

const (
	hostileChunked = "Transfer-Encoding: chunked"
	hostileField   = "X-Padding-%04d: %s\r\n"
)

func hostileChunk(bytes int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes))
}

// write writes text n times, and gives up when the process has closed the connection.
func write(w io.Writer, text string, n int) {
	for range n {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// hostileFields returns header lines of together about the given number of bytes.
func hostileFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, hostileField, i, strings.Repeat("x", 1000))
	}
	return b.String()
}

// Bodies that stop just short of their end are held until the deadline of their requests.
func TestHostileClientsWithLargeChunks(t *testing.T) {
	p := startHostile(t)
	chunk := hostileChunk(64 << 10)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, hostileHead(i, hostileChunked), 1)
		write(w, chunk, hostileBodyBytes/(64<<10)-1)
	}, nil)
	p.finish("fast")
}

// Chunks so small that most bytes on the wire are not of the body, in bodies that stop just short.
func TestHostileClientsWithTinyChunks(t *testing.T) {
	const chunkBytes, chunks = 8, 1 << 12
	p := startHostile(t)
	text := strings.Repeat(hostileChunk(chunkBytes), chunks)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, hostileHead(i, hostileChunked), 1)
		write(w, text, hostileBodyBytes/4/(chunkBytes*chunks))
	}, nil)
	p.finish("fast")
}

// A body that is announced to be over the limit is read up to the limit.
func TestHostileClientsWithAnnouncedExcess(t *testing.T) {
	p := startHostile(t)
	text := strings.Repeat("x", 64<<10)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, hostileHead(i, fmt.Sprint("Content-Length: ", 32*hostileBodyBytes)), 1)
		write(w, text, hostileBodyBytes/len(text)-1)
	}, nil)
	p.finish("fast")
}

// Bodies reach the limit at the same time, and go beyond it.
func TestHostileClientsWithExcess(t *testing.T) {
	p := startHostile(t)
	chunk := hostileChunk(64 << 10)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, hostileHead(i, hostileChunked), 1)
		write(w, chunk, hostileBodyBytes/(64<<10)-1)
	}, func(w io.Writer, _ int) { write(w, chunk, 2*hostileBodyBytes/(64<<10)) })
	p.finish("fast")
}

// Heads far over the limit are held as long as their requests.
func TestHostileClientsWithLargeHeads(t *testing.T) {
	p := startHostile(t)
	fields := hostileFields(40 * hostileHeadBytes)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, strings.TrimSuffix(hostileHead(i, "Content-Length: 100"), "\r\n")+fields+"\r\n", 1)
	}, nil)
	p.finish("fast")
}

// Heads that do not end are held until the time for a head has passed.
func TestHostileClientsWithHeadsWithoutEnd(t *testing.T) {
	p := startHostile(t)
	p.sendHeads(p.daemon.callers)
	p.finish("fast")
}

// sendHeads lets clients send heads without end.
func (p *hostilePlatform) sendHeads(address string) {
	fields := hostileFields(hostileHeadBytes)
	p.send(address, hostileCrowd, func(w io.Writer, i int) {
		write(w, strings.TrimSuffix(hostileHead(i, "Content-Length: 100"), "\r\n"), 1)
		write(w, fields, 56)
	}, func(w io.Writer, _ int) { write(w, fields, 256) })
}

// Empty lines before a request keep a connection in use.
func TestHostileClientsWithEmptyLines(t *testing.T) {
	p := startHostile(t)
	lines := strings.Repeat("\r\n", 32<<10)
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		write(w, stopRequest("fast", fmt.Sprint("hostile-", i), 0), 1)
		write(w, lines, 64)
	}, nil)
	p.finish("fast")
}

// Connections that send nothing take descriptors.
func TestHostileClientsThatSendNothing(t *testing.T) {
	p := startHostile(t)
	p.send(p.daemon.callers, hostileSilent, func(io.Writer, int) {}, nil)
	p.finish("fast")
}

// Responses that are not read keep the slots of their engines.
func TestHostileClientsThatDoNotRead(t *testing.T) {
	p := startHostile(t)
	id := strings.Repeat("x", 4<<10) // each event has it
	p.send(p.daemon.callers, hostileCrowd, func(w io.Writer, i int) {
		head := relay.RequestHead{ID: fmt.Sprint("hostile-", i, id), Model: "base", PromptTokens: 1, MaxTokens: 1 << 30}
		write(w, hostileRequest("chat", head, "Content-Length: 0"), 1)
	}, nil)
	p.finish("chat")
}

// The other listeners of a process share its memory and descriptors.
func TestHostileClientsOnOtherListeners(t *testing.T) {
	is := is.New(t)
	p := startHostile(t)
	for name, address := range map[string]string{"readiness": p.daemon.ready, "peers": p.daemon.peers, "operators": p.daemon.operators} {
		t.Log("heads without end:", name)
		p.sendHeads(address)
		p.check("fast")
		p.leave()
		t.Log("silent connections:", name)
		p.send(address, hostileSilent, func(io.Writer, int) {}, nil)
		p.check("fast")
		p.leave()
	}
	resp, err := http.Get("http://" + p.daemon.ready)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	p.finish("fast")
}

// Limits against hostile clients refuse requests that are within the limits of the configuration. A
// request that is refused for want of processor time is sent again: how much there is depends on the
// machine.
func TestLargestRequestsAreServedInCalm(t *testing.T) {
	p := startHostile(t)
	head := strings.TrimSuffix(hostileHead(0, fmt.Sprint("Content-Length: ", hostileBodyBytes)), "\r\n")
	head += "X-Padding: " + strings.Repeat("x", hostileHeadBytes-len(head)-len("X-Padding: \r\n\r\n")) + "\r\n\r\n"
	start := time.Now()
	for served := 0; served < 10; {
		c := dialStop(p.daemon.callers)
		c.write(head, strings.Repeat("x", hostileBodyBytes))
		a := c.read()
		c.close()
		isBusy := a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"type":"busy"`)
		switch {
		case a.status == http.StatusOK && a.err == nil:
			served++
		case !isBusy || time.Since(start) > hostileEnd:
			t.Fatalf("a request of the largest size: %v, writing: %v", a, c.err)
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	p.finish("fast")
}
