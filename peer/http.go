package peer

import (
	"crypto/tls"
	"net/http"
)

// NewHTTPClient returns a client for the peer protocol. It uses HTTP/2, whose header
// compression makes small messages much smaller, over mutual TLS if tc is set and
// over clear text otherwise.
func NewHTTPClient(tc *tls.Config) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = tc
	t.Protocols = protocols(tc)
	return &http.Client{Transport: t}
}

// NewHTTPServer returns a server for the peer protocol. If tc is set, the server must
// be given a TLS listener. The server also accepts HTTP/1.1.
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
