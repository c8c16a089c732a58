// Package entry assembles the daemon of an entry VM on the users' platform: it
// follows the platform's store, keeps the node's settings and backend servers
// up to date from it, relays callers' requests, and shuts down within the
// platform's grace period.
//
// # Usage
//
//	s, err := platform.ReadSettings(path)
//	d, err := entry.New(s, entry.Network{}, logger)
//	err = d.Start()
//	...
//	d.Close(ctx)
//
// # Not covered
//
// Traffic between nodes is not encrypted here: the platform hands out no
// certificates, and its network is closed.
package entry
