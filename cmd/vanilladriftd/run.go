package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
)

const (
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	shutdownTimeout = 5 * time.Second
	// callersTimeout is the part of shutdownTimeout in which heads of requests may end.
	callersTimeout = 4 * time.Second
)

// runCommand runs the node until SIGTERM or SIGINT, then drains it.
type runCommand struct {
	Options options `group:"Node"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	cfg, tc, err := c.Options.config()
	if err != nil {
		return err
	}
	n := node.New(cfg)
	callers, servers, err := c.listen(n, tc)
	if err != nil {
		return err
	}
	n.Start()
	cfg.Log.Info("node started", "callers", c.Options.CallerAddress, "peers", c.Options.PeerAddress, "operators", c.Options.OperatorAddress)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	callers.AskToClose()
	return c.drain(n, callers, servers, signals, cfg.Log)
}

// listen starts the servers for callers, peers and operators.
func (c *runCommand) listen(n *node.Node, tc *tls.Config) (callers *caller.Server, servers []*http.Server, err error) {
	callerHTTP := &http.Server{Handler: n.Callers()}
	callers = caller.NewServer(callerHTTP)
	peerServer, operatorServer := peer.NewHTTPServer(n.Peers(), tc), &http.Server{Handler: n.Operators()}
	for _, l := range []struct {
		address string
		srv     *http.Server
		tls     *tls.Config
		serve   func(ln net.Listener) error
	}{
		{c.Options.PeerAddress, peerServer, tc, peerServer.Serve},
		{c.Options.CallerAddress, callerHTTP, nil, callers.Serve},
		{c.Options.OperatorAddress, operatorServer, nil, operatorServer.Serve},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, nil, errors.Annotate(err, "listen")
		}
		if l.tls != nil {
			ln = tls.NewListener(ln, l.tls)
		}
		l.srv.ReadHeaderTimeout, l.srv.IdleTimeout, l.srv.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
		go func() { _ = l.serve(ln) }() // returns after Shutdown
	}
	return callers, []*http.Server{peerServer, operatorServer}, nil
}

// drain closes the node and then the servers. While the node waits for streams in
// flight, the next signal logs their number and any later one aborts them.
func (c *runCommand) drain(n *node.Node, callers *caller.Server, servers []*http.Server, signals chan os.Signal, logger *log.Logger) error {
	logger.Info("draining node; waiting for streams in flight", "timeout", c.Options.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), c.Options.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Close(ctx) }()
	warned := false
	for {
		select {
		case err := <-done:
			sctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			var wg sync.WaitGroup
			for _, srv := range servers {
				wg.Go(func() { _ = srv.Shutdown(sctx) }) // n.Close has already reported aborted streams
			}
			cctx, cancelCallers := context.WithTimeout(sctx, callersTimeout)
			defer cancelCallers()
			_ = callers.Shutdown(cctx) // likewise
			wg.Wait()
			logger.Info("node stopped")
			return err
		case <-signals:
			if warned {
				cancel()
				continue
			}
			warned = true
			logger.Warn("still draining; another signal cuts the streams in flight", "streams", n.InFlight())
		}
	}
}
