// Package engine provides clients for model engines and the scheduling and
// routing decisions for them.
//
// [Client] implements the HTTP protocol: OpenAI-style completion streams
// addressed by the immutable name "adapter@version", commands to load and unload
// adapters under a fencing token, cancellation, and load reports.
//
// [Sequencer] sends commands to engines that accept them only at an expected
// sequence number.
//
// The following types do no I/O: they take the current time and events, and
// return decisions. They start no goroutines, read no clock and are not safe for
// concurrent use.
//
//   - [Scheduler] runs at the owner of an engine and manages its queue, its
//     batch, its adapter slots and the pins on them. With [SchedulerConfig.ByCost],
//     its queue follows package schedule.
//   - [LoadBudget] limits the rate of adapter loads from the weight store.
//   - [Router] runs at the entry node. It chooses the candidate engines of an
//     adapter and their order, detects slow engines, and limits hedges and
//     migrations of streams.
//
// # Usage
//
//	s := engine.NewScheduler(engine.SchedulerConfig{Slots: 16, BatchSize: 32})
//	work := engine.Work{ID: "r1", Adapter: "tides@v2", Deadline: deadline}
//	for _, a := range s.Submit(now, work) {
//		switch a.Kind {
//		case engine.Grant: // open the stream
//		case engine.Refuse: // respond with a.RetryAfter
//		case engine.RequestLoad: // if the budget allows it: s.ApproveLoad, run the load, s.FinishLoad
//		}
//	}
//
// # Not covered
//
// Prefix-cache affinity within an adapter, and transfer of KV cache between
// engines.
package engine
