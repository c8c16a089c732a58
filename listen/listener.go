package listen

import (
	"container/list"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/memory"
)

const (
	// ConnBytes is what an open connection holds: its buffers and the stack of its goroutine.
	ConnBytes = 16 << 10
	// SendBufferBytes is the size that is asked of the kernel for what is written and not read yet.
	// A slow caller gets 20 events of a stream ahead.
	SendBufferBytes = 32 << 10
	// minSilence is how long a connection must have sent nothing before another takes its place.
	// Clients send when they have connected.
	minSilence = time.Second
	// maxRefusals is the number of refused connections that are read at the same time, so that
	// their clients get the refusal. Further ones are closed.
	maxRefusals = 16
	// refusalTime bounds the refusal of a connection.
	refusalTime = 100 * time.Millisecond
)

// Reasons for which connections are ended or refused.
const (
	TooMany    = "connections" // there are too many connections
	OverBudget = "memory"      // clients hold as much memory as they may
	Unread     = "unread"      // the client does not read what is sent
)

// Limits are the limits of a [Listener]. A zero field is no limit.
type Limits struct {
	MaxConns int
	// Unread is the time within which a client must take some of what is sent. It is shorter, down to
	// an eighth, while many do not.
	Unread time.Duration
	Memory *memory.Budget
	Class  memory.Class
	// Refusal, which is optional, is sent to a client whose connection is refused.
	Refusal string
	// OnEnd, which is optional, is called when a connection is refused or ended.
	OnEnd func(reason string)
}

// Listener accepts connections within limits. Set the fields before the first use.
type Listener struct {
	net.Listener
	Limits Limits

	mu       sync.Mutex
	conns    int
	silent   list.List // of *Conn that have sent nothing, in the order of their start
	refusals int
	patience patience
	closed   bool
	tasks    sync.WaitGroup
}

// Conns returns the number of connections.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.makeRoom()
		c, reason := l.admit(conn)
		if c != nil {
			return c, nil
		}
		l.refuse(conn, reason)
	}
}

// SetDeadline bounds the next accept, if the listener below can.
func (l *Listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.New("the listener has no deadline")
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	err := l.Listener.Close()
	l.tasks.Wait()
	return err
}

func (l *Listener) isFull() bool { return l.Limits.MaxConns > 0 && l.conns >= l.Limits.MaxConns }

// makeRoom ends the connection that has sent nothing for the longest time, if there are too many.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	var oldest *Conn
	if e := l.silent.Front(); e != nil && l.isFull() && time.Since(e.Value.(*Conn).start) >= minSilence {
		oldest = e.Value.(*Conn)
	}
	l.mu.Unlock()
	if oldest != nil {
		l.ended(TooMany)
		oldest.Close()
	}
}

// admit returns the connection of the server, or nil and why there is none.
func (l *Listener) admit(conn net.Conn) (c *Conn, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull() {
		return nil, TooMany
	}
	c = &Conn{Conn: conn, listener: l, start: time.Now(), holding: l.Limits.Memory.Hold(l.Limits.Class), queued: -1}
	if !c.holding.Grow(ConnBytes) {
		return nil, OverBudget
	}
	if b, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok && l.Limits.Memory.Total() > 0 {
		_ = b.SetWriteBuffer(SendBufferBytes) // fails only if the connection is closed
	}
	l.conns++
	c.silent = l.silent.PushBack(c)
	return c, ""
}

// refuse refuses a connection.
func (l *Listener) refuse(conn net.Conn, reason string) {
	l.ended(reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.Limits.Refusal == "" || l.refusals >= maxRefusals {
		conn.Close()
		return
	}
	l.refusals++
	l.tasks.Go(func() {
		Refuse(conn, l.Limits.Refusal)
		conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refusals--
	})
}

// isUnread reports whether a client that has taken nothing since a moment must be ended, and records it.
func (l *Listener) isUnread(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.patience.longest = l.Limits.Unread
	if now.Sub(since) < l.patience.limit(now) {
		return false
	}
	l.patience.add(now)
	return true
}

func (l *Listener) ended(reason string) {
	if l.Limits.OnEnd != nil {
		l.Limits.OnEnd(reason)
	}
}

// Refuse sends a refusal, and reads for a short time what the client sends: data that is unread when a
// connection is closed would take the refusal with it. The caller then closes the connection.
func Refuse(conn net.Conn, refusal string) {
	if conn.SetDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // reading then fails
	}
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{conn}, make([]byte, 4<<10)) // ends with the deadline
}

// isTimeout reports whether a deadline has ended a read or write.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
