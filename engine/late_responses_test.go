package engine_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against a second copy of a response that is taken for the one to the next request or
// command on its connection.
func TestLateResponseIsNotTheNext(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{Handler: &standin.Engine{Slots: 2, BatchSize: 4}}
	defer srv.Close()
	go func() { _ = srv.Serve(&standin.LateCopies{Listener: ln, IsCopied: func([]byte) bool { return true }}) }() // returns when the server is closed
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := engine.Client{Name: "e", URL: "http://" + ln.Addr().String(), HTTP: &http.Client{Transport: transport}}

	other := &http.Transport{}
	defer other.CloseIdleConnections()
	_, err = (&engine.Client{Name: "e", URL: c.URL, HTTP: &http.Client{Transport: other}}).Load(t.Context(), "b@1", 1)
	is.NoErr(err)
	_, err = c.Load(t.Context(), "a@1", 1)
	is.NoErr(err)
	_, err = c.Unload(t.Context(), "a@1", 1)
	is.True(engine.IsKind(err, engine.Failed)) // the copy says that it was loaded
	_, err = c.OpenStream(t.Context(), engine.CompletionRequest{Path: engine.PathCompletions, Body: []byte(`{"prompt":"x","max_tokens":2}`), Model: "none@1", ID: "r1"})
	is.True(err != nil)
	stream, err := c.OpenStream(t.Context(), engine.CompletionRequest{Path: engine.PathCompletions, Body: []byte(`{"prompt":"x","max_tokens":2}`), Model: "b@1", ID: "r2"})
	if err == nil { // the transport met the copy before it sent the request
		stream.Close()
	}
	is.True(!engine.NotRun(err)) // the copy says that r1 was refused, and the engine accepts r2
}
