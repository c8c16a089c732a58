// Package caller serves the callers' HTTP API: completions in the OpenAI
// format, the list of models, and calls of plain services by name.
//
// A caller's API key maps to its branch of the settings tree. Every response
// carries the request ID and an outcome: [Ran], [NotRun] or [Unknown].
// Requests that cannot be served are rejected immediately with a Retry-After
// time.
//
// # Usage
//
//	h := &caller.Handler{Tree: store.Tree, RequestGrant: requestGrant, ...}
//	http.ListenAndServe(addr, h)
//
// # Not covered
//
// Batches of prompts, n > 1 and log probabilities are not supported.
package caller
