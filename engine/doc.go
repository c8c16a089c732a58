// Package engine speaks to model engines and decides what an engine does.
//
// [Client] is the wire side: OpenAI-style completion streams addressed by the
// immutable name "adapter@version", orders to load and unload adapters with a
// fencing token, cancel, and load reports.
//
// The other types are decisions without input or output: they take the
// present time and events, and return actions. They start no goroutine, read
// no clock and are not safe for concurrent use.
//
//   - [Scheduler] runs at the owner of one engine: its queue, its batch places,
//     its adapter slots and pins.
//   - [Budget] shares out the weight store's load rate.
//   - [Router] runs at the entry node: which engines to ask, in which order,
//     which are slow, when to hedge and when to move a stream.
//
// # Usage
//
//	s := engine.NewScheduler(engine.SchedulerConfig{Slots: 16, Places: 32})
//	for _, a := range s.Submit(now, engine.Work{ID: "r1", Adapter: "tides@v2", Short: true, Tokens: 40, Deadline: deadline}) {
//		switch a.Kind {
//		case engine.Grant: // open the stream
//		case engine.Refuse: // answer with a.RetryAfter
//		case engine.RequestLoad: // when the budget allows it, call s.Permit, carry the load out, call s.Loaded
//		}
//	}
//
// # Not covered
//
// Prefix-cache affinity below the level of the adapter, and transfer of KV
// cache between engines.
package engine
