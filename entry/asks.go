package entry

import (
	"net/http"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/platform"
)

// recordAsks records what a server asked for in its response to a caller's request.
func (d *Daemon) recordAsks(s *backend.Server, sent time.Time, a backend.Asks) {
	if !a.Late {
		d.recordLimit(s, sent, a)
		d.recordBrittle(s, a)
	}
	d.recordPause(s, a)
}

// recordControlAsks records what a server asked for in its response to a command or to a
// request for its report. Only responses to callers' requests end a limit.
func (d *Daemon) recordControlAsks(s *backend.Server, sent time.Time, a backend.Asks) {
	if a.Limited || a.LimitErr != nil {
		d.recordLimit(s, sent, a)
	}
	d.recordBrittle(s, a)
	d.recordPause(s, a)
}

// recordLate records a response of a server that came where the one to r was due.
func (d *Daemon) recordLate(r *http.Request, conn int64, resp *http.Response) {
	head := platform.DecodeResponseHead(resp)
	server := platform.ExpectedServer(r)
	d.log.Info("dropped a late response to another request", "server", server, "conn", conn, "id", head.RequestID, "status", head.Status, "awaited", r.Header.Get(platform.RequestIDHeader))
	if s, ok := d.state.servers.View().Server(server); ok && head.Asks.Draining {
		d.state.setDraining(s)
	}
}

// recordPause records that a server wants no requests, for a time or for good.
func (d *Daemon) recordPause(s *backend.Server, a backend.Asks) {
	now := time.Now()
	if a.Draining {
		d.state.setDraining(s)
	}
	switch {
	case a.PauseErr != nil:
		d.log.Warn("server asked for a pause of unreadable length; ignoring it", "server", s.ID, "err", a.PauseErr)
	case a.Pause > 0 && d.balancer.Pauses.Pause(now, s, a.Pause):
		d.log.Info("server asked for a pause; sending it nothing until then", "server", s.ID, "pool", s.Pool, "pause", a.Pause, "left", d.balancer.Pauses.Left(now, s))
	}
}

// recordLimit records what a response states of the server's limit.
func (d *Daemon) recordLimit(s *backend.Server, sent time.Time, a backend.Asks) {
	limit, changed := d.limits.Observe(sent, time.Now(), s, a)
	if a.LimitErr != nil && changed {
		d.log.Warn("server stated a limit that cannot be read", "server", s.ID, "pool", s.Pool, "err", a.LimitErr)
	}
	if changed && !limit.Limited {
		d.node.TellLimit(s.ID)
	}
	if changed {
		d.log.Info("server stated another limit on its requests", "server", s.ID, "born", s.StartMS, "pool", s.Pool, "limited", limit.Limited, "per-second", limit.PerSecond)
	}
}

// recordBrittle records whether a server states that it falls over if it must turn many requests away.
func (d *Daemon) recordBrittle(s *backend.Server, a backend.Asks) {
	if !d.balancer.Brittle.Observe(time.Now(), s, a) {
		return
	}
	if a.BrittleErr != nil {
		d.log.Warn("server stated in a form that cannot be read how many requests it may turn away", "server", s.ID, "err", a.BrittleErr)
	}
	d.log.Info("server stated whether it is brittle", "server", s.ID, "born", s.StartMS, "pool", s.Pool, "brittle", a.Brittle, "refusals-per-second", a.MaxRefusals)
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
