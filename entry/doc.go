// Package entry is the daemon of an entry VM on the users' platform. It follows the
// platform's store, updates the node's settings and backend servers from it, relays
// callers' requests, and shuts down within the platform's grace period.
//
// # Usage
//
//	s, err := platform.ReadSettings(path)
//	d, err := entry.New(s, entry.Network{}, logger)
//	err = d.Start()
//	...
//	d.Close()
//
// # Not covered
//
// Traffic between nodes is not encrypted: the platform issues no certificates, and
// its network is closed.
package entry
