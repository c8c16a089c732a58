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

// authority signs certificates for nodes.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
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

func (a *authority) sign(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".crt", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", raw)
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// options returns the flags of a node with a certificate of this authority.
func (a *authority) options(t *testing.T, name string) *options {
	t.Helper()
	a.sign(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, newKey(t))
	path := func(ext string) string { return filepath.Join(a.dir, name+ext) }
	return &options{PeerAddress: "10.1.2.3:7101", PeerCert: path(".crt"), PeerKey: path(".key"), PeerCA: filepath.Join(a.dir, "ca.crt")}
}

func TestPeersProveThemselves(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	tc, err := ours.options(t, "server").peerTLS()
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := node.New(node.Config{Name: "n", Address: "127.0.0.1:1", TableURL: "http://127.0.0.1:1"})
	srv := peer.NewHTTPServer(n.Peers(), tc)
	go func() { _ = srv.Serve(tls.NewListener(ln, tc)) }() // ends with Close
	defer srv.Close()

	call := func(hc *http.Client) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := peerpbconnect.NewPeerClient(hc, "https://"+ln.Addr().String()).Heartbeat(ctx, connect.NewRequest(&peerpb.HeartbeatRequest{}))
		return err
	}
	client, err := ours.options(t, "client").peerTLS()
	is.NoErr(err)
	is.NoErr(call(peer.NewHTTPClient(client)))

	stranger, err := theirs.options(t, "stranger").peerTLS()
	is.NoErr(err)
	stranger.RootCAs = client.RootCAs // it trusts us, we do not trust it
	is.True(call(peer.NewHTTPClient(stranger)) != nil)
	is.True(call(peer.NewHTTPClient(&tls.Config{RootCAs: client.RootCAs})) != nil) // no certificate
}

func TestOffLoopbackNeedsCertificates(t *testing.T) {
	is := is.New(t)
	_, err := (&options{PeerAddress: "10.1.2.3:7101"}).peerTLS()
	is.True(err != nil)
	_, err = (&options{PeerAddress: "127.0.0.1:7101"}).peerTLS()
	is.NoErr(err)
	_, err = (&options{PeerAddress: "127.0.0.1:7101", PeerCert: "missing"}).peerTLS()
	is.True(err != nil)
}
