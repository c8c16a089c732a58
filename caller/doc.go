// Package caller speaks to callers: completions in the published OpenAI form,
// the list of models, and plain services by name.
//
// A caller's key names its branch of the settings tree. Every answer carries
// its request id and an outcome: [Ran], [NotRun] or [Unknown]. A request that
// is given up is answered at once, with the time to come back.
//
// # Usage
//
//	f := &caller.Handler{Tree: store.Tree, Acquire: acquire, ...}
//	http.ListenAndServe(addr, f)
//
// # Not covered
//
// Batches of prompts, n > 1 and log probabilities are not passed on.
package caller
