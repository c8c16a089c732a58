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
	"strings"
	"sync"
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
	recoverWithin   = 60 * time.Second
)

// processes is a system of real processes on loopback.
type processes struct {
	t    *testing.T
	bin  string
	addr map[string]string // by name
	port int               // the next to try
	cmds map[string]*exec.Cmd
	args map[string][]string

	mu     sync.Mutex
	faults []string
	served int
	wg     sync.WaitGroup
	stop   chan struct{}
}

func startProcesses(t *testing.T) *processes {
	p := &processes{
		t: t, bin: t.TempDir(), port: firstPort + os.Getpid()%(lastPort-firstPort)/2, addr: map[string]string{}, cmds: map[string]*exec.Cmd{},
		args: map[string][]string{}, stop: make(chan struct{}),
	}
	for _, name := range []string{"standin", "vanilladriftd"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(p.bin, name), "../"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	for _, kind := range []string{"table", "object", "vm-list", "service"} {
		p.standin(kind, kind)
	}
	for i := range processEngines {
		p.standin(fmt.Sprintf("engine%d", i), "engine", "--slots", "3", "--places", "6", "--speed", "4", onlyIf(i == 0, "--checks-fencing"))
	}
	for i := range processNodes {
		p.node(i)
	}
	return p
}

func onlyIf(on bool, arg string) string {
	if on {
		return arg
	}
	return ""
}

// The ports of the processes lie below those that Linux gives to outgoing
// connections. While a process is down between two starts, another's connection
// could take its port otherwise.
const (
	firstPort = 20000
	lastPort  = 32000
)

// address returns the loopback address of a name, the same for every start.
func (p *processes) address(name string) string {
	if a, ok := p.addr[name]; ok {
		return a
	}
	for ; p.port < lastPort; p.port++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p.port))
		if err != nil {
			continue // in use
		}
		ln.Close()
		p.addr[name] = ln.Addr().String()
		p.port++
		return p.addr[name]
	}
	p.t.Fatal("no port is free")
	return ""
}

func (p *processes) run(name, program string, args ...string) {
	var kept []string
	for _, a := range args {
		if a != "" {
			kept = append(kept, a)
		}
	}
	cmd := exec.Command(filepath.Join(p.bin, program), kept...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmds[name], p.args[name] = cmd, append([]string{program}, kept...)
}

func (p *processes) standin(name, kind string, args ...string) {
	p.run(name, "standin", append([]string{kind, "--listen", p.address(name)}, args...)...)
}

func (p *processes) node(i int) {
	name := fmt.Sprintf("node%d", i)
	p.run(name, "vanilladriftd", "run", "--name", name, "--peer-address", p.address(name),
		"--caller-address", p.address(name+" callers"), "--operator-address", p.address(name+" operators"),
		"--table-url", "http://"+p.address("table"), "--object-url", "http://"+p.address("object"),
		"--vm-list-url", "http://"+p.address("vm-list"), "--operator", "tester:"+operatorToken,
		"--lease-ttl", "4s", "--lease-margin", "400ms", "--log-level", "error")
}

func (p *processes) restart(name string) {
	args := p.args[name]
	p.run(name, args[0], args[1:]...)
}

func (p *processes) signal(name string, s os.Signal) {
	if err := p.cmds[name].Process.Signal(s); err != nil {
		p.t.Errorf("signal %s: %v", name, err)
	}
}

func (p *processes) kill(name string) {
	p.signal(name, syscall.SIGKILL)
	_ = p.cmds[name].Wait() // it was killed
}

func (p *processes) close() {
	for name := range p.cmds {
		if p.cmds[name].ProcessState == nil {
			_ = p.cmds[name].Process.Signal(syscall.SIGCONT) // it may be stopped
			p.kill(name)
		}
	}
}

// eventually waits for something to become true.
func (p *processes) eventually(what string, ok func() bool) {
	p.t.Helper()
	limit := time.Now().Add(recoverWithin)
	for !ok() {
		if time.Now().After(limit) {
			p.t.Fatalf("%s: not within %v", what, recoverWithin)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *processes) edit(kind settings.Kind, name string, set map[string]string) {
	client := operatorpbconnect.NewOperatorClient(http.DefaultClient, "http://"+p.address("node0 operators"))
	req := connect.NewRequest(&operatorpb.EditRequest{
		Id: fmt.Sprint(kind, name, set), Kind: string(kind), Name: name, Set: set, Base: settings.AnyRevision, Why: "process test",
	})
	req.Header().Set("Authorization", "Bearer "+operatorToken)
	p.eventually("edit "+name, func() bool {
		_, err := client.Edit(context.Background(), req)
		return err == nil
	})
}

func (p *processes) configure() {
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

func (p *processes) post(node int, path, key, body string) (*http.Response, []byte, error) {
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

// complete sends a request; it reports whether it was served, and judges the
// answer.
func (p *processes) complete(node, i int) bool {
	model, prompt, tokens := fmt.Sprintf("a%d", i%processAdapters), fmt.Sprint("prompt ", i), 5+i%40
	resp, raw, err := p.post(node, "/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens))
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	var a struct {
		Model   string
		Choices []struct{ Text string }
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&a); err != nil || len(a.Choices) != 1 {
		p.fault("answer is not whole: %s", raw)
		return false
	}
	if a.Model != model+"@v1" || a.Choices[0].Text != standin.Completion(a.Model, prompt, tokens) {
		p.fault("wrong answer from %s to %q", a.Model, prompt)
	}
	return true
}

func (p *processes) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// load keeps requests and repeated orders going until stop is closed.
func (p *processes) load() {
	for w := range 6 {
		p.wg.Go(func() {
			for i := w; ; i += 6 {
				select {
				case <-p.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if i%5 == 0 {
					body := fmt.Sprint("order ", i/10)
					_, _, _ = p.post(i%processNodes, "/v1/services/ledger/place", body, body) // judged by what ran
					continue
				}
				if p.complete(i%processNodes, i) {
					p.mu.Lock()
					p.served++
					p.mu.Unlock()
				}
			}
		})
	}
}

func (p *processes) record(name string, into any) {
	resp, err := http.Get("http://" + p.address(name) + "/standin/record")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processes) servesAll() bool {
	for node := range processNodes {
		for a := range processAdapters {
			if !p.complete(node, a) {
				return false
			}
		}
	}
	return true
}

// TestProcesses kills, stops, continues and drains real processes under load.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	defer p.close()
	p.configure()
	p.eventually("first requests", p.servesAll)
	p.load()

	p.signal("node1", syscall.SIGSTOP) // longer than its lease
	time.Sleep(7 * time.Second)
	p.signal("node1", syscall.SIGCONT)
	time.Sleep(2 * time.Second)

	p.kill("node2")
	time.Sleep(time.Second)
	p.restart("node2")
	time.Sleep(2 * time.Second)

	p.signal("table", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	p.signal("table", syscall.SIGCONT)

	p.kill("engine1") // cold when it comes back
	p.restart("engine1")
	time.Sleep(2 * time.Second)

	p.signal("node0", syscall.SIGTERM)
	is.NoErr(p.cmds["node0"].Wait()) // drained in time
	p.restart("node0")

	close(p.stop)
	p.wg.Wait()
	p.eventually("requests after recovery", p.servesAll)
	for i := range processEngines {
		var rec standin.EngineRecord
		p.record(fmt.Sprintf("engine%d", i), &rec)
		is.Equal(rec.EvictedInUse, 0)
	}
	executed := map[string]int{}
	p.record("service", &executed)
	for body, n := range executed {
		if n > 1 {
			t.Errorf("%q was executed %d times", body, n)
		}
	}
	is.Equal(p.faults, nil)
	is.True(p.served > 0)
	t.Logf("served %d requests under failures, %d orders ran", p.served, len(executed))
}
