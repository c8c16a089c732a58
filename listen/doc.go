// Package listen accepts connections within the limits of a process. It answers the load of clients
// that open more connections than the process has descriptors, send nothing on them, or do not read
// what they are sent.
//
// # Usage
//
//	ln = &listen.Listener{Listener: ln, Limits: listen.Limits{MaxConns: 1000, Unread: 3 * time.Second}}
//	err := srv.Serve(ln)
//
// A connection over the limit takes the place of the one that has sent nothing for the longest time, if
// that is over a second. Otherwise it is refused. A connection whose client takes nothing of what is
// written to it for a time is ended: the writer gets an error.
//
// How long a connection may be idle, and what a head may be, is up to the server behind the listener.
package listen
