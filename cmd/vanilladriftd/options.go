package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
)

// options are the flags of a node.
type options struct {
	Name            string        `long:"name" env:"VANILLADRIFT_NAME" required:"true" description:"name of the node, unique in the system"`
	CallerAddress   string        `long:"caller-address" env:"VANILLADRIFT_CALLER_ADDRESS" default:"127.0.0.1:7100" description:"IP address and port to listen on for callers"`
	PeerAddress     string        `long:"peer-address" env:"VANILLADRIFT_PEER_ADDRESS" default:"127.0.0.1:7101" description:"IP address and port to listen on for other nodes"`
	OperatorAddress string        `long:"operator-address" env:"VANILLADRIFT_OPERATOR_ADDRESS" default:"127.0.0.1:7102" description:"IP address and port to listen on for operators, health checks and metrics"`
	Region          string        `long:"region" env:"VANILLADRIFT_REGION" description:"region of the VM"`
	DataCenter      string        `long:"data-center" env:"VANILLADRIFT_DATA_CENTER" description:"data centre of the VM"`
	TableURL        string        `long:"table-url" env:"VANILLADRIFT_TABLE_URL" required:"true" description:"URL of the platform's table service"`
	ObjectURL       string        `long:"object-url" env:"VANILLADRIFT_OBJECT_URL" description:"URL of the platform's object store"`
	VMListURL       string        `long:"vm-list-url" env:"VANILLADRIFT_VM_LIST_URL" description:"URL of the platform's VM list"`
	Operators       []string      `long:"operator" env:"VANILLADRIFT_OPERATORS" env-delim:"," description:"credential of an operator, name:token (repeatable)"`
	LeaseTTL        time.Duration `long:"lease-ttl" env:"VANILLADRIFT_LEASE_TTL" default:"6s" description:"time without a renewal after which other nodes take over a node's engines"`
	LeaseMargin     time.Duration `long:"lease-margin" env:"VANILLADRIFT_LEASE_MARGIN" default:"1s" description:"safety margin: subtracted from the lease by its holder, added to it by other nodes"`
	DrainGrace      time.Duration `long:"drain-grace" env:"VANILLADRIFT_DRAIN_GRACE" default:"1s" description:"time to keep serving after SIGTERM, until the load balancer stops sending requests"`
	DrainTimeout    time.Duration `long:"drain-timeout" env:"VANILLADRIFT_DRAIN_TIMEOUT" default:"2m" description:"longest time to wait for requests in flight before they are aborted"`
	PeerCert        string        `long:"peer-cert" env:"VANILLADRIFT_PEER_CERT" description:"PEM file with this node's certificate; optional on loopback only"`
	PeerKey         string        `long:"peer-key" env:"VANILLADRIFT_PEER_KEY" description:"PEM file with this node's private key"`
	PeerCA          string        `long:"peer-ca" env:"VANILLADRIFT_PEER_CA" description:"PEM file with the certificate of the authority that signs the nodes' certificates"`
	LogLevel        string        `long:"log-level" env:"VANILLADRIFT_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	LogFormat       string        `long:"log-format" env:"VANILLADRIFT_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"format of the log"`
	Profile         bool          `long:"profile" env:"VANILLADRIFT_PROFILE" description:"serve pprof at the operator address"`
}

func (o *options) logger() *log.Logger {
	level, err := log.ParseLevel(o.LogLevel)
	if err != nil {
		level = log.InfoLevel // unreachable: every choice of the flag is a level
	}
	l := log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	if o.LogFormat == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	return l.With("node", o.Name)
}

// config returns the validated configuration of the node and the TLS configuration of
// its peer server, which is nil without TLS.
func (o *options) config() (node.Config, *tls.Config, error) {
	cfg := node.Config{
		Name: o.Name, Address: o.PeerAddress, Region: o.Region, DataCenter: o.DataCenter,
		TableURL: o.TableURL, ObjectURL: o.ObjectURL, VMListURL: o.VMListURL,
		LeaseTTL: o.LeaseTTL, LeaseMargin: o.LeaseMargin, DrainGrace: o.DrainGrace,
		Profile: o.Profile, Log: o.logger(), Seed: uint64(time.Now().UnixNano()),
	}
	for _, c := range o.Operators {
		var err error
		if cfg.Operators, err = cfg.Operators.With(c); err != nil {
			return cfg, nil, err
		}
	}
	for _, a := range []string{o.CallerAddress, o.PeerAddress, o.OperatorAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return cfg, nil, errors.Annotatef(err, "address %q", a)
		}
	}
	tc, err := o.peerTLS()
	if err != nil {
		return cfg, nil, err
	}
	cfg.PeerHTTP = peer.NewHTTPClient(tc)
	if tc != nil {
		cfg.PeerScheme = "https"
	}
	return cfg, tc, cfg.Check()
}

// peerTLS returns the mutual TLS configuration for peers, or nil if the node is on
// loopback and no certificate is given.
func (o *options) peerTLS() (*tls.Config, error) {
	if o.PeerCert == "" && o.PeerKey == "" && o.PeerCA == "" {
		if a := netip.MustParseAddrPort(o.PeerAddress); !a.Addr().IsLoopback() {
			return nil, errors.New("a peer address off loopback requires --peer-cert, --peer-key and --peer-ca")
		}
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(o.PeerCert, o.PeerKey)
	if err != nil {
		return nil, errors.Annotate(err, "read the node's certificate and key")
	}
	pem, err := os.ReadFile(o.PeerCA)
	if err != nil {
		return nil, errors.Annotate(err, "read the authority's certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in %s", o.PeerCA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}
