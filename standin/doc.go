// Package standin holds small fakes of the outside systems that a node talks
// to: the table service, the object store, the VM list, model engines and plain
// services; and, for the daemons on the users' platform, its store ([Rows]) and
// its servers ([Replica]). Tests, the demo and the experiments use them; a node
// never does.
//
// Every fake is an http.Handler, so it can stand behind a loopback port or
// behind the in-memory [Network]; programs that listen and dial by themselves are
// joined by a [Wire]. Each has switches for the failures that the
// real system shows, and records what it saw so that a test can judge by it.
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
// trusted. Of the platform's replicas, memory for prompts, preemption, holds and
// moves are missing.
package standin
