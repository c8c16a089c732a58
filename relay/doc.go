// Package relay proxies raw HTTP requests. It matches each request to a route,
// chooses a backend server, and forwards the server's response unchanged.
//
// A request is decoded, matched to its route and read with its body. Then it
// goes either to servePlain, which uses a pool of servers without a model
// engine chosen by a [backend.Balancer], or to serveEngine, which uses a pool
// of model engines whose owners grant each request. Each attempt and each
// outcome is reported as one [Event], for logs and metrics.
//
// The statuses 408, 421, 429 and 503 promise that a request has not run. They
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
