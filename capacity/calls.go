package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/peer/peerpb/peerpbconnect"
	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// countingListener counts the bytes read from and written to its connections.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// serve runs the server on a loopback port until it is closed. It returns its URL and a
// counter of the bytes read and written.
func serve(srv *http.Server) (url string, n *atomic.Int64, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	n = new(atomic.Int64)
	srv.ReadHeaderTimeout = 10 * time.Second
	go func() { _ = srv.Serve(countingListener{ln, n}) }() // ends with Close
	return "http://" + ln.Addr().String(), n, nil
}

// stubPeer returns fixed responses to the peer calls that are measured.
type stubPeer struct {
	peerpbconnect.UnimplementedPeerHandler
}

// Heartbeat implements the Peer service.
func (stubPeer) Heartbeat(context.Context, *connect.Request[peerpb.HeartbeatRequest]) (*connect.Response[peerpb.HeartbeatResponse], error) {
	return connect.NewResponse(&peerpb.HeartbeatResponse{Node: "node-123", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Revision: 123456}), nil
}

// Admit implements the Peer service.
func (stubPeer) Admit(context.Context, *connect.Request[peerpb.AdmitRequest]) (*connect.Response[peerpb.AdmitResponse], error) {
	return connect.NewResponse(&peerpb.AdmitResponse{Verdict: peerpb.AdmitResponse_VERDICT_GRANTED, Token: 1234}), nil
}

// Release implements the Peer service.
func (stubPeer) Release(context.Context, *connect.Request[peerpb.ReleaseRequest]) (*connect.Response[peerpb.ReleaseResponse], error) {
	return connect.NewResponse(&peerpb.ReleaseResponse{}), nil
}

// measureCall returns the mean CPU time and bytes of a call. A first call, which opens
// the connection, is not measured.
func measureCall(n *atomic.Int64, call func() error) (ns, wireBytes float64, err error) {
	if err := call(); err != nil {
		return 0, 0, err
	}
	before := n.Load()
	ns = cpuPerIteration(callIterations, func() {
		for range callIterations {
			if e := call(); e != nil {
				err = e
			}
		}
	})
	return ns, float64(n.Load()-before) / callIterations, err
}

func measureCalls(s *Slopes) error {
	ctx := context.Background()
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerHandler(stubPeer{}))
	srv := peer.NewHTTPServer(mux, nil)
	defer srv.Close()
	url, n, err := serve(srv)
	if err != nil {
		return err
	}
	c := peerpbconnect.NewPeerClient(peer.NewHTTPClient(nil), url)
	heartbeat := &peerpb.HeartbeatRequest{Node: "node-123", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Revision: 123456}
	s.HeartbeatNs, s.HeartbeatBytes, err = measureCall(n, func() error {
		_, err := c.Heartbeat(ctx, connect.NewRequest(heartbeat))
		return err
	})
	if err != nil {
		return err
	}
	admit := &peerpb.AdmitRequest{
		Engine: "engine-001234", RequestId: "node-123-ABCDEFGH-zz12.1r0a", Adapter: "adapter-012345@v2", Entry: "node-123",
		EntryProcess: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", ShortClass: true, Tokens: 200, PromptTokens: 300, TimeLeftMs: 20000, MaxWaitMs: 50,
	}
	release := &peerpb.ReleaseRequest{Grants: []*peerpb.Released{{Engine: admit.Engine, RequestId: admit.RequestId, Token: 1234, TokenTimeUs: 25000}}}
	s.AdmitNs, s.AdmitBytes, err = measureCall(n, func() error {
		if _, err := c.Admit(ctx, connect.NewRequest(admit)); err != nil {
			return err
		}
		_, err := c.Release(ctx, connect.NewRequest(release))
		return err
	})
	if err != nil {
		return err
	}
	return measureTable(ctx, s)
}

func sessionRow(i int) table.Session {
	return table.Session{
		Node: fmt.Sprintf("node-%03d", i), Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Epoch: 1, Counter: 123456,
		Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250), Region: "waikato", DataCenter: "waikato-1",
	}
}

func measureTable(ctx context.Context, s *Slopes) error {
	srv := &http.Server{Handler: &standin.Table{}}
	defer srv.Close()
	url, n, err := serve(srv)
	if err != nil {
		return err
	}
	c := &table.Client{URL: url}
	row := sessionRow(0)
	var version int64
	s.RenewNs, s.RenewBytes, err = measureCall(n, func() error {
		var err error
		version, err = c.Commit(ctx, table.Tx{Checks: []table.Check{{Key: row.Key(), Version: version}}, Puts: []table.Put{{Key: row.Key(), Value: row.Encode()}}})
		return err
	})
	if err != nil {
		return err
	}
	if _, err := c.Commit(ctx, table.Tx{Puts: []table.Put{{Key: "settings/head", Value: []byte("123456")}}}); err != nil {
		return err
	}
	s.HeadReadNs, s.HeadReadBytes, err = measureCall(n, func() error {
		_, err := c.Get(ctx, "settings/head")
		return err
	})
	if err != nil {
		return err
	}
	var rowCounts, ns, bytesOnWire []float64
	for _, rows := range []int{7, 60, 180, 360} {
		var tx table.Tx
		for i := range rows {
			tx.Puts = append(tx.Puts, table.Put{Key: sessionRow(i).Key(), Value: sessionRow(i).Encode()})
		}
		if _, err := c.Commit(ctx, tx); err != nil {
			return err
		}
		callNs, callBytes, err := measureCall(n, func() error {
			_, err := c.Scan(ctx, table.SessionPrefix)
			return err
		})
		if err != nil {
			return err
		}
		rowCounts, ns, bytesOnWire = append(rowCounts, float64(rows)), append(ns, callNs), append(bytesOnWire, callBytes)
	}
	s.ScanFixedNs, s.ScanRowNs = linearFit(rowCounts, ns)
	s.ScanFixedNs = max(0, s.ScanFixedNs)
	_, s.ScanRowBytes = linearFit(rowCounts, bytesOnWire)
	owner := table.Owner{Engine: "engine-001234", Node: row.Node, Process: row.Process, Epoch: 1, Address: row.Address, FencingToken: 1234}
	for i := range 16 {
		owner.StableAdapters = append(owner.StableAdapters, fmt.Sprintf("adapter-%06d@v2", i))
	}
	s.OwnerRowBytes = float64(len(owner.Encode()))
	return nil
}

func measureLedger(s *Slopes) error {
	store := &standin.Table{}
	srv := &http.Server{Handler: store}
	defer srv.Close()
	url, _, err := serve(srv)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * ledgerConcurrency}}
	ledger := &service.Ledger{Table: &table.Client{URL: url, HTTP: client}}
	send := func(context.Context, service.Call) (service.Response, error) {
		return service.Response{Status: 200}, nil
	}
	var failed atomic.Pointer[error]
	s.LedgerNs = cpuPerIteration(ledgerCalls, func() {
		var wg sync.WaitGroup
		for w := range ledgerConcurrency {
			wg.Go(func() {
				for i := w; i < ledgerCalls; i += ledgerConcurrency {
					c := service.Call{Caller: "c", Key: fmt.Sprint(i), Attempt: fmt.Sprint("a", i), Method: "POST", Path: "/", Body: []byte("order")}
					if _, err := ledger.Do(context.Background(), c, send); err != nil {
						failed.Store(&err)
					}
				}
			})
		}
		wg.Wait()
	})
	ledger.Close()
	reads, writes := store.Counts()
	s.LedgerReads, s.LedgerWrites = float64(reads)/ledgerCalls, float64(writes)/ledgerCalls
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
