package entry

import (
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
)

// recordPause records that a server wants no requests from this node for d.
func (d *Daemon) recordPause(s *backend.Server, pause time.Duration, err error) {
	switch {
	case err != nil:
		d.log.Warn("server asked for a pause of unreadable length; ignoring it", "server", s.ID, "err", err)
	case d.balancer.Pauses.Pause(time.Now(), s, pause):
		d.log.Info("server asked for a pause; sending it nothing until then", "server", s.ID, "pool", s.Pool, "pause", pause, "left", d.balancer.Pauses.Left(time.Now(), s))
	}
}

// isPaused reports whether the server at an address must get no requests now.
func (d *Daemon) isPaused(address string) bool {
	return d.balancer.Pauses.IsPaused(time.Now(), address, d.state.servers.View().Server)
}

// isEnginePaused reports whether an engine must get no requests now.
func (d *Daemon) isEnginePaused(name string) bool {
	s, ok := d.state.servers.View().Server(name)
	return ok && d.balancer.Pauses.Left(time.Now(), s) > 0
}
