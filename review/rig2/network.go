package rig2

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
)

// network carries what the nodes send to each other and to the store through proxies, one for each pair, so
// that single nodes can be cut off. A node reads in the store the addresses of the others' proxies, as behind
// a translation of addresses: a proxy translates them in the rows of the system, also in what it writes.
type network struct {
	p   *Platform
	cut []*atomic.Bool // by node
}

// cutPoll is the time between two looks of a proxy whether a cut is over.
const cutPoll = 5 * time.Millisecond

// Cut cuts a node off from the store and from all other nodes, silently, or ends that. Callers and
// replicas still reach it. The platform must have been started with Cuttable.
func (n *Node) Cut(cut bool) {
	for i, other := range n.platform.Nodes {
		if other == n {
			n.platform.network.cut[i].Store(cut)
		}
	}
}

// add starts the proxies of one more node, and returns the address of its store. The proxies to nodes
// that are added later are started with them.
func (w *network) add() (store string, err error) {
	i := len(w.cut)
	w.cut = append(w.cut, &atomic.Bool{})
	for other := range i {
		if err := w.connect(i, other); err != nil {
			return "", err
		}
		if err := w.connect(other, i); err != nil {
			return "", err
		}
	}
	ln, err := w.p.listen()
	if err != nil {
		return "", err
	}
	w.p.serve(ln, w.storeFor(i))
	return ln.Addr().String(), nil
}

func (w *network) isCut(nodes ...int) bool {
	for _, i := range nodes {
		if w.cut[i].Load() {
			return true
		}
	}
	return false
}

// connect starts the proxy by which a node reaches another one.
func (w *network) connect(from, to int) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.p.seenIP(from, to), w.p.ports[2]))
	if err != nil {
		return err
	}
	w.p.closers = append(w.p.closers, func() { ln.Close() })
	target := fmt.Sprintf("%s:%d", w.p.ip(to), w.p.ports[2])
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go w.carry(c, target, from, to)
		}
	}()
	return nil
}

// carry carries one connection between two nodes.
func (w *network) carry(a net.Conn, target string, nodes ...int) {
	defer a.Close()
	w.await(nodes...)
	b, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer b.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		go func() {
			defer func() { done <- struct{}{} }()
			buf := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(buf)
				w.await(nodes...)
				if _, werr := pair[1].Write(buf[:n]); err != nil || werr != nil {
					return
				}
			}
		}()
	}
	<-done
}

// await waits until none of the nodes is cut off.
func (w *network) await(nodes ...int) {
	for w.isCut(nodes...) {
		time.Sleep(cutPoll)
	}
}

// storeFor returns the store as a node reaches it.
func (w *network) storeFor(i int) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.await(i)
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+w.p.storeAt+r.URL.RequestURI(), bytes.NewReader(w.translate(body, i, false)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		resp, err := client.Do(out)
		if err != nil {
			panic(http.ErrAbortHandler) // as the store did
		}
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
		w.await(i)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for name, values := range resp.Header {
			if name != "Content-Length" {
				rw.Header()[name] = values
			}
		}
		rw.WriteHeader(resp.StatusCode)
		_, _ = rw.Write(w.translate(body, i, true)) // the node may have left
	})
}

// translate replaces the other nodes' addresses by those under which a node sees them, or the other way
// round, in the values of the system's rows.
func (w *network) translate(body []byte, viewer int, isRead bool) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return body
	}
	w.walk(v, viewer, isRead)
	out, err := json.Marshal(v)
	if err != nil {
		return body
	}
	return out
}

func (w *network) walk(v any, viewer int, isRead bool) {
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			w.walk(e, viewer, isRead)
		}
	case map[string]any:
		text, ok := v["value"].(string)
		if ok && v["table"] != platform.OperatorTable && v["table"] != platform.ServersTable {
			if value, err := base64.StdEncoding.DecodeString(text); err == nil {
				v["value"] = base64.StdEncoding.EncodeToString(w.translateValue(value, viewer, isRead))
			}
			return
		}
		for _, e := range v {
			w.walk(e, viewer, isRead)
		}
	}
}

func (w *network) translateValue(value []byte, viewer int, isRead bool) []byte {
	s := string(value)
	for other := range w.cut {
		if other == viewer {
			continue
		}
		from, to := w.p.ip(other)+":", w.p.seenIP(viewer, other)+":"
		if !isRead {
			from, to = to, from
		}
		s = strings.ReplaceAll(s, from, to)
	}
	return []byte(s)
}

// seenIP returns the address under which a node sees another one.
func (p *Platform) seenIP(viewer, other int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+p.Case, viewer+1, other+1)
}

// Front carries callers' connections to a node, and can reset them.
type Front struct {
	Address string

	mu    sync.Mutex
	conns [][2]net.Conn
}

// NewFront starts a proxy for the callers of a node.
func (p *Platform) NewFront(n *Node) (*Front, error) {
	ln, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.closers = append(p.closers, func() { ln.Close() })
	f := &Front{Address: ln.Addr().String()}
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go f.carry(a, n.Callers())
		}
	}()
	return f, nil
}

func (f *Front) carry(a net.Conn, target string) {
	defer a.Close()
	b, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer b.Close()
	f.mu.Lock()
	f.conns = append(f.conns, [2]net.Conn{a, b})
	f.mu.Unlock()
	go func() { _, _ = io.Copy(b, a) }() // ends with the connection
	_, _ = io.Copy(a, b)                 // as above
}

// Reset resets every second connection.
func (f *Front) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, pair := range f.conns {
		if i%2 == 0 {
			for _, c := range pair {
				_ = c.(*net.TCPConn).SetLinger(0) // it may be closed
				c.Close()
			}
		}
	}
	f.conns = nil
}
