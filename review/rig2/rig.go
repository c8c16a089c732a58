// Package rig2 runs daemons as separate processes on stand-ins of the platform, for the cases of the
// second review.
//
// # Usage
//
//	p, err := rig2.Start(rig2.Options{Case: 6, Config: config, Replicas: replicas})
//	defer p.Close()
//	err = p.StartNodes(1)
//
// # Not covered
//
// The package judges nothing. Stand-ins run in the process of the case, daemons in processes of their own.
package rig2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

const (
	daemonProgram = "target/vanilladriftd"
	readyTime     = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	killTime      = 3 * time.Second
)

// HasTrouble reports whether the case brings its disruption about.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Options describe the platform of a case.
type Options struct {
	Case     int    // its number; it selects the loopback addresses
	Config   string // the operator's configuration
	Replicas []*standin.Replica
	// Settings are further lines of the settings file, for each node the same.
	Settings string
	// Zones is the number of zones among which the nodes are divided; 0 means one.
	Zones int
	// Cuttable puts proxies between the nodes, and between them and the store; see [Node.Cut].
	Cuttable bool
	// Wrap, which is optional, replaces the handler of the store.
	Wrap func(store http.Handler) http.Handler
	// WrapReplica, which is optional, replaces the handler of a replica.
	WrapReplica func(r *standin.Replica) http.Handler
	// Listen, which is optional, replaces the listener of a replica.
	Listen func(r *standin.Replica, ln net.Listener) net.Listener
}

// Platform is the stand-in of the platform with the daemons that run on it.
type Platform struct {
	Options
	Store  *standin.Store
	Nodes  []*Node
	Record *Record

	network  *network
	dir      string
	storeAt  string
	ports    [4]int // of callers, readiness, the first internal one, and the last
	closers  []func()
	closeOne sync.Once
}

// Start starts the stand-ins.
func Start(o Options) (*Platform, error) {
	record, err := newRecord(filepath.Join("review", fmt.Sprint(o.Case), "record.txt"))
	if err != nil {
		return nil, err
	}
	p := &Platform{Options: o, Store: &standin.Store{}, Record: record}
	if p.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	p.closers = append(p.closers, func() { _ = os.RemoveAll(p.dir) }) // a temporary folder may stay
	var store http.Handler = p.Store
	if o.Wrap != nil {
		store = o.Wrap(store)
	}
	ln, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.storeAt = ln.Addr().String()
	p.serve(ln, store)
	p.Store.Put(platform.ConfigRowKey, []byte(o.Config))
	for _, r := range o.Replicas {
		if err := p.startReplica(r); err != nil {
			return nil, err
		}
	}
	if o.Cuttable {
		p.network = &network{p: p}
	}
	return p, p.choosePorts()
}

// AddReplica starts one more replica.
func (p *Platform) AddReplica(r *standin.Replica) error { return p.startReplica(r) }

func (p *Platform) startReplica(r *standin.Replica) error {
	key := platform.ServersTable + "/" + r.Self.ID
	r.WriteRow = func(row []byte) { p.Store.Put(key, row) }
	ln, err := p.listen()
	if err != nil {
		return err
	}
	r.Self.Address = ln.Addr().String()
	if p.Listen != nil {
		ln = p.Listen(r, ln)
	}
	var h http.Handler = r
	if p.WrapReplica != nil {
		h = p.WrapReplica(r)
	}
	p.serve(ln, h)
	r.Start()
	return nil
}

func (p *Platform) listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (p *Platform) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()                         // returns when it is closed
	p.closers = append(p.closers, func() { _ = srv.Close() }) // the case ends
}

// choosePorts finds ports that are free on the address of the first node.
func (p *Platform) choosePorts() error {
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			ln.Close()
		}
	}()
	for i := 0; i < len(p.ports); i++ {
		ln, err := net.Listen("tcp", p.ip(0)+":0")
		if err != nil {
			return err
		}
		held = append(held, ln)
		p.ports[i] = ln.Addr().(*net.TCPAddr).Port
	}
	for base := 21000; base < 32000; base += 2 {
		a, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip(0), base))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip(0), base+1))
		a.Close()
		if err != nil {
			continue
		}
		b.Close()
		p.ports[2], p.ports[3] = base, base+1
		return nil
	}
	return fmt.Errorf("no two free ports")
}

func (p *Platform) ip(i int) string { return fmt.Sprintf("127.%d.0.%d", 10+p.Case, i+1) }

// StartNodes starts n more daemons, and waits until they are ready.
func (p *Platform) StartNodes(n int) error {
	first := len(p.Nodes)
	for range n {
		store := p.storeAt
		if p.network != nil {
			var err error
			if store, err = p.network.add(); err != nil {
				return err
			}
		}
		node := &Node{platform: p, store: store, zone: 1 + len(p.Nodes)%max(1, p.Zones), Name: fmt.Sprintf("front-%d", len(p.Nodes)+1), IP: p.ip(len(p.Nodes))}
		p.Nodes = append(p.Nodes, node)
	}
	for _, node := range p.Nodes[first:] {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for _, node := range p.Nodes[first:] {
		if !node.WaitReady(readyTime) {
			return fmt.Errorf("%s is not ready", node.Name)
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (p *Platform) Close() {
	p.closeOne.Do(func() {
		for _, n := range p.Nodes {
			n.Kill()
		}
		for i := len(p.closers) - 1; i >= 0; i-- {
			p.closers[i]()
		}
		p.Record.close()
	})
}

// Node is one daemon.
type Node struct {
	Name, IP string

	platform *Platform
	store    string // its address
	zone     int
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
	started  atomic.Int64 // when the process was started last, in Unix ns
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	p := n.platform
	file := filepath.Join(p.dir, n.Name+".yaml")
	text := fmt.Sprintf(`node_name: %q
ip: %q
zone: "z%d"
region: "r1"
listen_addrs:
  front: "%s:%d"
  ready: "%s:%d"
internal_ports: [%d, %d]
heartbeat_ms: 1200
bounds: {healthy_ms: 3000, drain_ms: 2000, grace_s: 8, lease_ms: 3000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_budget_slack: 54}
platform: {address: %q}
%s`, n.Name, n.IP, n.zone, n.IP, p.ports[0], n.IP, p.ports[1], p.ports[2], p.ports[3], n.store, p.Settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	n.starts++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", n.Name, n.starts)))
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(daemonProgram, "platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsFileEnv + "=" + file}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.started.Store(time.Now().UnixNano())
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		_ = cmd.Wait() // the state of the process tells how it ended
		close(exited)
	}()
	p.Record.Printf("started %s, process %d", n.Name, n.Pid())
	return nil
}

// Pid returns the ID of the process.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Callers returns the address for callers.
func (n *Node) Callers() string { return fmt.Sprintf("%s:%d", n.IP, n.platform.ports[0]) }

// Started returns when the process was started last.
func (n *Node) Started() time.Time { return time.Unix(0, n.started.Load()) }

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) } // it may have ended

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// HasExited reports whether the process has ended, and how.
func (n *Node) HasExited() (string, bool) {
	select {
	case <-n.exited:
		return n.cmd.ProcessState.String(), true
	default:
		return "", false
	}
}

// Kill ends the process, and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	select {
	case <-n.exited:
	case <-time.After(killTime):
	}
}

// IsReady asks the node as the platform does.
func (n *Node) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", n.IP, n.platform.ports[1]))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
		if n.IsReady() {
			return true
		}
	}
	return false
}

// Log returns what the node has logged in all its starts.
func (n *Node) Log() string {
	var b strings.Builder
	for i := 1; i <= n.starts; i++ {
		data, _ := os.ReadFile(filepath.Join(n.platform.dir, fmt.Sprintf("%s-%d.log", n.Name, i))) // empty if it is gone
		b.Write(data)
	}
	return b.String()
}

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *Record) close() { _ = r.file.Close() } // all was written

// AddServer starts one more server, which is none of the project's stand-ins, and returns its address.
func (p *Platform) AddServer(h http.Handler) (address string, err error) {
	ln, err := p.listen()
	if err != nil {
		return "", err
	}
	p.serve(ln, h)
	return ln.Addr().String(), nil
}
