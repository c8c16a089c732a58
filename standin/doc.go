// Package standin implements small stand-ins for the external systems that a node
// uses: the table service, the object store, the VM list, model engines and plain
// services. For the daemons on the users' platform it has the platform's metadata
// store ([Store]) and servers ([Replica]). Only tests, the demo and the experiments
// use the package.
//
// Every stand-in is an http.Handler that is served on a loopback port or in an
// in-memory [Network]. Programs that open listeners and connections themselves use
// a [PipeNetwork]. Failures of the real systems can be injected, and what a
// stand-in received and did is recorded for the checks of tests.
//
// # Usage
//
//	tbl := &standin.Table{}
//	srv := httptest.NewServer(tbl)
//	tbl.SetFault(standin.TableFault{Down: true})
//
// # Not covered
//
// Durability and access control: all state is in memory and every caller is
// trusted. A [Replica] has no KV cache memory, preemption, holds or migrations of
// streams.
package standin
