// Package relay serves callers that speak raw HTTP: it matches a request to its
// route, chooses a backend server, and passes the server's answer on unchanged.
//
// A request takes one straight way: decode the head, match the route, read the
// body, then either servePlain (a pool of plain servers, chosen by a
// [backend.Balancer]) or serveEngine (a pool of model engines, whose
// owners grant each request). Each decision that touches a request is one
// [Event] for the log.
//
// Statuses that promise that a request has not run (408, 421, 429 and 503) are
// given only when no server can have begun it. When that is not known the
// answer is 502 or 504.
//
// # Usage
//
//	f := &relay.Handler{Table: table, Servers: view, Decode: platform.DecodeRequestHead, ...}
//	http.ListenAndServe(address, f)
//
// # Not covered
//
// The names of headers and the form of answers come in through function
// fields. Bodies are read whole before they are sent on.
package relay
