// Package rig3 runs daemons of the users' platform as separate processes, for the cases of the third review: a
// stand-in of the store, settings files like those of a small deployment, and clients. All addresses are loopback
// addresses.
//
// # Usage
//
//	sys, err := rig3.Start(rig3.Options{Daemons: 2, Config: config})
//	defer sys.Close()
//	err = sys.AwaitReady()
package rig3
