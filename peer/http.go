package peer

import (
	"crypto/tls"
	"net/http"
)

// NewHTTPClient returns a client for the peers' protocol. It speaks HTTP/2,
// whose compressed headers make small messages much smaller, with mutual TLS if
// tc is set and in clear text otherwise.
func NewHTTPClient(tc *tls.Config) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = tc
	t.Protocols = protocols(tc)
	return &http.Client{Transport: t}
}

// NewHTTPServer returns a server for the peers' protocol. With tc the caller
// must hand it a TLS listener.
func NewHTTPServer(h http.Handler, tc *tls.Config) *http.Server {
	p := protocols(tc)
	p.SetHTTP1(true)
	return &http.Server{Handler: h, Protocols: p, TLSConfig: tc}
}

func protocols(tc *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(tc != nil)
	p.SetUnencryptedHTTP2(tc == nil)
	return p
}
