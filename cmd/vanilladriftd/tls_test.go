package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/peer"
	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/peer/peerpb/peerpbconnect"
)

// testCA is a certificate authority for nodes.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{dir: t.TempDir()}
	a.key = newKey(t)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.sign(t, "ca", a.cert, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *testCA) sign(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.writePEM(t, name+".crt", "CERTIFICATE", der)
	a.writePEM(t, name+".key", "EC PRIVATE KEY", raw)
}

func (a *testCA) writePEM(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// nodeOptions returns the flags of a node with a certificate signed by the authority.
func (a *testCA) nodeOptions(t *testing.T, name string) *options {
	t.Helper()
	a.sign(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, newKey(t))
	path := func(ext string) string { return filepath.Join(a.dir, name+ext) }
	return &options{PeerAddress: "10.1.2.3:7101", PeerCert: path(".crt"), PeerKey: path(".key"), PeerCA: filepath.Join(a.dir, "ca.crt")}
}

func TestPeersRequireMutualTLS(t *testing.T) {
	is := is.New(t)
	ca, otherCA := newTestCA(t), newTestCA(t)
	tc, err := ca.nodeOptions(t, "server").peerTLS()
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := node.New(node.Config{Name: "n", Address: "127.0.0.1:1", TableURL: "http://127.0.0.1:1"})
	srv := peer.NewHTTPServer(n.Peers(), tc)
	go func() { _ = srv.Serve(tls.NewListener(ln, tc)) }() // returns after Close
	defer srv.Close()

	call := func(hc *http.Client) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := peerpbconnect.NewPeerClient(hc, "https://"+ln.Addr().String()).Heartbeat(ctx, connect.NewRequest(&peerpb.HeartbeatRequest{}))
		return err
	}
	client, err := ca.nodeOptions(t, "client").peerTLS()
	is.NoErr(err)
	is.NoErr(call(peer.NewHTTPClient(client)))

	untrusted, err := otherCA.nodeOptions(t, "stranger").peerTLS()
	is.NoErr(err)
	untrusted.RootCAs = client.RootCAs // it trusts the server, which does not trust it
	is.True(call(peer.NewHTTPClient(untrusted)) != nil)
	is.True(call(peer.NewHTTPClient(&tls.Config{RootCAs: client.RootCAs})) != nil) // no client certificate
}

func TestPeerTLSRequiredOffLoopback(t *testing.T) {
	is := is.New(t)
	_, err := (&options{PeerAddress: "10.1.2.3:7101"}).peerTLS()
	is.True(err != nil)
	_, err = (&options{PeerAddress: "127.0.0.1:7101"}).peerTLS()
	is.NoErr(err)
	_, err = (&options{PeerAddress: "127.0.0.1:7101", PeerCert: "missing"}).peerTLS()
	is.True(err != nil)
}
