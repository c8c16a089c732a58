// Package standin holds small fakes of the outside systems that a node talks
// to: the table service, the object store, the VM list, model engines and plain
// services. Tests, the demo and the experiments use them; a node never does.
//
// Every fake is an http.Handler, so it can stand behind a loopback port or
// behind the in-memory [Network]. Each has switches for the failures that the
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
// trusted.
package standin
