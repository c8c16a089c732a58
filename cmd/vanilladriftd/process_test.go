package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/operator/operatorpb"
	"github.com/vanilladrift/vanilladrift/operator/operatorpb/operatorpbconnect"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

const (
	processNodes    = 3
	processEngines  = 2
	processAdapters = 6
	operatorToken   = "process-test-token"
	recoveryTimeout = 60 * time.Second
	// resumeSlack is how long after it was resumed a process may send late commands. The
	// platform's pages state it.
	resumeSlack = 300 * time.Millisecond
	// noTurns is the time within which nodes must not take turns: their commands do not name them.
	noTurns = 0
)

// processCluster runs a system of separate processes on loopback.
type processCluster struct {
	t        *testing.T
	bin      string
	log      *os.File          // what the processes write; shown if the test fails
	addrs    map[string]string // addresses by process name
	cmds     map[string]*exec.Cmd
	args     map[string][]string
	nodeArgs []string // further flags of the nodes

	mu         sync.Mutex
	violations []string
	served     int
	wg         sync.WaitGroup
	stopLoad   chan struct{}
}

func startProcessCluster(t *testing.T, nodeArgs ...string) *processCluster {
	logFile, err := os.Create(filepath.Join(t.TempDir(), "processes.log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &processCluster{
		t: t, bin: t.TempDir(), log: logFile, addrs: map[string]string{}, cmds: map[string]*exec.Cmd{},
		args: map[string][]string{}, nodeArgs: nodeArgs, stopLoad: make(chan struct{}),
	}
	for _, name := range []string{"standin", "vanilladriftd"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(p.bin, name), "../"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	for _, kind := range []string{"table", "object", "vm-list", "service"} {
		p.startStandin(kind, kind)
	}
	for i := range processEngines {
		p.startStandin(fmt.Sprintf("engine%d", i), "engine", "--slots", "3", "--places", "6", "--speed", "4", argIf(i == 0, "--checks-fencing"))
	}
	for i := range processNodes {
		p.startNode(i)
	}
	return p
}

func argIf(cond bool, arg string) string {
	if cond {
		return arg
	}
	return ""
}

// The processes listen on ports below Linux's ephemeral range. Otherwise an outgoing
// connection of another process could take the port of a process that is down between
// two starts.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the next port to try, for all tests of this process.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(firstPort + os.Getpid()%(lastPort-firstPort)/2)) }

// freeAddress returns a loopback address without a listener, and its port.
func freeAddress(t *testing.T) (address string, port int) {
	t.Helper()
	for port := int(nextPort.Add(1)); port < lastPort; port = int(nextPort.Add(1)) {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // the port is in use
		}
		ln.Close()
		return ln.Addr().String(), port
	}
	t.Fatal("no free port")
	return "", 0
}

// address returns the loopback address of a process, the same for every start.
func (p *processCluster) address(name string) string {
	a, ok := p.addrs[name]
	if !ok {
		a, _ = freeAddress(p.t)
		p.addrs[name] = a
	}
	return a
}

func (p *processCluster) startProcess(name, program string, args ...string) {
	var nonEmpty []string
	for _, a := range args {
		if a != "" {
			nonEmpty = append(nonEmpty, a)
		}
	}
	cmd := exec.Command(filepath.Join(p.bin, program), nonEmpty...)
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmds[name], p.args[name] = cmd, append([]string{program}, nonEmpty...)
}

func (p *processCluster) startStandin(name, kind string, args ...string) {
	p.startProcess(name, "standin", append([]string{kind, "--listen", p.address(name)}, args...)...)
}

func (p *processCluster) startNode(i int) {
	name := fmt.Sprintf("node%d", i)
	p.startProcess(name, "vanilladriftd", append([]string{
		"run", "--name", name, "--peer-address", p.address(name),
		"--caller-address", p.address(name + " callers"), "--operator-address", p.address(name + " operators"),
		"--table-url", "http://" + p.address("table"), "--object-url", "http://" + p.address("object"),
		"--vm-list-url", "http://" + p.address("vm-list"), "--operator", "tester:" + operatorToken,
		"--lease-ttl", "4s", "--lease-margin", "400ms", "--log-level", "debug",
	}, p.nodeArgs...)...)
}

func (p *processCluster) restart(name string) {
	args := p.args[name]
	p.startProcess(name, args[0], args[1:]...)
}

func (p *processCluster) signal(name string, s os.Signal) {
	if err := p.cmds[name].Process.Signal(s); err != nil {
		p.t.Errorf("signal %s: %v", name, err)
	}
}

func (p *processCluster) kill(name string) {
	p.signal(name, syscall.SIGKILL)
	_ = p.cmds[name].Wait() // reports the kill as an error
}

func (p *processCluster) close() {
	for name := range p.cmds {
		if p.cmds[name].ProcessState == nil {
			_ = p.cmds[name].Process.Signal(syscall.SIGCONT) // it may be suspended
			p.kill(name)
		}
	}
	if p.t.Failed() {
		written, err := os.ReadFile(p.log.Name())
		p.t.Logf("the processes wrote (reading it: %v):\n%s", err, written)
	}
	if err := p.log.Close(); err != nil {
		p.t.Error(err)
	}
}

// waitUntil repeats attempt and fails the test if it does not succeed within
// recoveryTimeout.
func (p *processCluster) waitUntil(what string, attempt func() error) {
	p.t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("%s: not done within %v: %v", what, recoveryTimeout, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *processCluster) edit(kind settings.Kind, name string, set map[string]string) {
	client := operatorpbconnect.NewOperatorClient(http.DefaultClient, "http://"+p.address("node0 operators"))
	req := connect.NewRequest(&operatorpb.EditRequest{
		Id: fmt.Sprint(kind, name, set), Kind: string(kind), Name: name, Set: set, Base: settings.AnyRevision, Why: "process test",
	})
	req.Header().Set("Authorization", "Bearer "+operatorToken)
	p.waitUntil("edit "+name, func() error {
		_, err := client.Edit(context.Background(), req)
		return err
	})
}

func (p *processCluster) configure() {
	p.edit(settings.Branch, "/", map[string]string{"load-rate": "20", "load-parallel": "4", "deadline": "15s"})
	for i := range processEngines {
		fencing := "off"
		if i == 0 {
			fencing = "on"
		}
		p.edit(settings.Backend, fmt.Sprintf("engine%d", i), map[string]string{
			"address": p.address(fmt.Sprintf("engine%d", i)), "base-model": "base", "slots": "3", "swap-slots": "1",
			"places": "6", "checks-fencing": fencing, "refuses-when-full": "on",
		})
	}
	for i := range processAdapters {
		p.edit(settings.Adapter, fmt.Sprintf("a%d", i), map[string]string{"base-model": "base", "versions": "v1", "current": "v1"})
	}
	p.edit(settings.Caller, "till", map[string]string{"branch": "/", "key-hash": caller.HashKey("till")})
	p.edit(settings.Service, "ledger", map[string]string{"addresses": p.address("service")})
}

func (p *processCluster) post(node int, path, key, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address(fmt.Sprintf("node%d callers", node))+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer till")
	if key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	client := http.Client{Timeout: 40 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp, raw, err
}

// complete sends a completion request and returns an error if it was not served. It
// records a violation if the response is malformed or wrong.
func (p *processCluster) complete(node, i int) error {
	model, prompt, tokens := fmt.Sprintf("a%d", i%processAdapters), fmt.Sprint("prompt ", i), 5+i%40
	sent := time.Now()
	resp, raw, err := p.post(node, "/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens))
	if err != nil {
		return fmt.Errorf("request for %s to node%d, after %v: %w", model, node, time.Since(sent), err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("request for %s to node%d, after %v: status %d: %s", model, node, time.Since(sent), resp.StatusCode, raw)
	}
	var a struct {
		Model   string
		Choices []struct{ Text string }
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&a); err != nil || len(a.Choices) != 1 {
		p.addViolation("malformed response: %s", raw)
		return fmt.Errorf("malformed response: %s", raw)
	}
	if a.Model != model+"@v1" || a.Choices[0].Text != standin.Completion(a.Model, prompt, tokens) {
		p.addViolation("wrong response of %s to %q", a.Model, prompt)
	}
	return nil
}

func (p *processCluster) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// startLoad sends completion requests and retried service calls until stopLoad is
// closed.
func (p *processCluster) startLoad() {
	for w := range 6 {
		p.wg.Go(func() {
			for i := w; ; i += 6 {
				select {
				case <-p.stopLoad:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if i%5 == 0 {
					body := fmt.Sprint("order ", i/10)
					_, _, _ = p.post(i%processNodes, "/v1/services/ledger/place", body, body) // checked by the record of executions
					continue
				}
				if p.complete(i%processNodes, i) == nil {
					p.mu.Lock()
					p.served++
					p.mu.Unlock()
				}
			}
		})
	}
}

func (p *processCluster) readRecord(name string, dst any) {
	resp, err := http.Get("http://" + p.address(name) + "/standin/record")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processCluster) servesEveryModel() error {
	for node := range processNodes {
		for a := range processAdapters {
			if err := p.complete(node, a); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkOwners checks the commands that arrived at an engine since its process started, and
// returns their number. Those that arrived right after a node was resumed do not count: it may
// send then what it was about to send.
func (p *processCluster) checkOwners(engine int, resumed time.Time) int {
	p.t.Helper()
	name := fmt.Sprintf("engine%d", engine)
	var rec standin.EngineRecord
	p.readRecord(name, &rec)
	commands := slices.DeleteFunc(rec.Commands, func(a standin.Arrival) bool {
		return a.At.After(resumed) && a.At.Before(resumed.Add(resumeSlack))
	})
	for _, v := range standin.OwnerViolations(name, commands, engine == 0, noTurns) {
		p.t.Error(v)
	}
	return len(commands)
}

// TestProcessFailures kills, suspends, resumes and drains processes under load. No
// response may be wrong, no adapter in use evicted, and no call with an idempotency key
// executed twice.
func TestProcessFailures(t *testing.T) {
	is := is.New(t)
	p := startProcessCluster(t)
	defer p.close()
	p.configure()
	p.waitUntil("first requests", p.servesEveryModel)
	p.startLoad()

	p.signal("node1", syscall.SIGSTOP) // suspended for longer than its lease
	time.Sleep(7 * time.Second)
	p.signal("node1", syscall.SIGCONT)
	resumed := time.Now()
	time.Sleep(2 * time.Second)

	p.kill("node2")
	time.Sleep(time.Second)
	p.restart("node2")
	time.Sleep(2 * time.Second)

	p.signal("table", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	p.signal("table", syscall.SIGCONT)

	commands := p.checkOwners(1, resumed)
	p.kill("engine1") // restarts with no adapter loaded
	p.restart("engine1")
	time.Sleep(2 * time.Second)

	p.signal("node0", syscall.SIGTERM)
	is.NoErr(p.cmds["node0"].Wait()) // the drain must end within its timeout
	p.restart("node0")

	close(p.stopLoad)
	p.wg.Wait()
	p.waitUntil("requests after recovery", p.servesEveryModel)
	for i := range processEngines {
		var rec standin.EngineRecord
		p.readRecord(fmt.Sprintf("engine%d", i), &rec)
		is.Equal(rec.EvictedInUse, 0)
		commands += p.checkOwners(i, resumed)
	}
	executed := map[string]int{}
	p.readRecord("service", &executed)
	for body, n := range executed {
		if n > 1 {
			t.Errorf("call %q was executed %d times", body, n)
		}
	}
	is.Equal(p.violations, nil)
	is.True(p.served > 0)
	is.True(commands > 0)
	t.Logf("served %d requests, sent %d commands and ran %d service calls during the failures", p.served, commands, len(executed))
}
