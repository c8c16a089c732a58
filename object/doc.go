// Package object is a client of the platform's object store, which reads and writes
// whole objects by key over HTTP GET and PUT.
//
// # Usage
//
//	c := &object.Client{URL: "http://127.0.0.1:7002"}
//	err := c.Put(ctx, "call/ab12", body)
//	body, err = c.Get(ctx, "call/ab12")
//
// # Not covered
//
// Listing, range reads and multi-part uploads: the stored responses of plain services
// are bounded in size.
package object
