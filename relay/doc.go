// Package relay proxies raw HTTP requests. It matches each request to a route,
// chooses a backend server, and forwards the server's response unchanged.
//
// The handler decodes the request headers, matches the route and reads the
// body. It then calls either servePlain, for a pool of servers without model
// engines, where a [backend.Balancer] chooses the server, or serveEngine, for
// a pool of model engines, where the engine's owner must grant the request.
// Each failed attempt that is retried and each finished request is reported as
// one [Event], for logs and metrics.
//
// The statuses 408, 421, 429 and 503 guarantee that a request has not run. They
// are returned only when no server can have started it. Otherwise the response
// is 502 or 504.
//
// # Usage
//
//	h := &relay.Handler{Table: table, Servers: view, DecodeRequest: platform.DecodeRequestHead, ...}
//	http.ListenAndServe(address, h)
//
// # Not covered
//
// Header names and the format of server responses are supplied through
// function fields. Request bodies are buffered in full before they are
// forwarded.
package relay
