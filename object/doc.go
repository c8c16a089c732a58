// Package object speaks to the platform's object store: whole objects by key
// over HTTP PUT and GET.
//
// # Usage
//
//	c := &object.Client{URL: "http://127.0.0.1:7002"}
//	err := c.Put(ctx, "call/ab12", body)
//	body, err = c.Get(ctx, "call/ab12")
//
// # Not covered
//
// Listing, ranges and multi-part uploads: answers of plain services are bounded
// in size.
package object
