package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// buildsInterval is the time between two looks at which software versions must be listed.
	buildsInterval = 200 * time.Millisecond
	// buildsRetryDelay is the time between two store calls for the listing of one pool.
	buildsRetryDelay = 500 * time.Millisecond
	// maxListingDelay bounds the time for which nodes leave a listing to the node that is chosen
	// for it. They differ, so that few write at the same time.
	maxListingDelay = time.Second
)

// buildLister keeps the rows that list the software versions of pools.
type buildLister struct {
	table    *table.Client
	history  *backend.BuildHistory
	isChosen func(task string) bool
	log      *log.Logger

	tried map[string]time.Time // when the row of a pool was last read or written
	due   map[string]time.Time // when this node writes the row of a pool that another should write
}

// update reads and writes the rows that must be.
func (b *buildLister) update(ctx context.Context, generation int64) {
	for _, pool := range b.history.Unread(time.Now()) {
		if b.mayTry(pool) {
			b.read(ctx, pool)
		}
	}
	listings := b.history.Listings(time.Now())
	for _, l := range listings {
		if b.isDue(l.Pool) && b.mayTry(l.Pool) {
			b.write(ctx, l, generation)
		}
	}
	for pool := range b.due {
		if !slices.ContainsFunc(listings, func(l backend.BuildListing) bool { return l.Pool == pool }) {
			delete(b.due, pool)
		}
	}
}

// mayTry limits the pace of calls for a pool, which may fail. After a read that succeeded the next
// call is made at once.
func (b *buildLister) mayTry(pool string) bool {
	if time.Since(b.tried[pool]) < buildsRetryDelay {
		return false
	}
	b.tried[pool] = time.Now()
	return true
}

// isDue reports whether this node should write the row of a pool now.
func (b *buildLister) isDue(pool string) bool {
	if b.isChosen(table.Builds{Pool: pool}.Key()) {
		return true
	}
	at, ok := b.due[pool]
	if !ok {
		b.due[pool] = time.Now().Add(rand.N(maxListingDelay))
		return false
	}
	return !time.Now().Before(at)
}

func (b *buildLister) read(ctx context.Context, pool string) {
	l := backend.BuildListing{Pool: pool}
	row, err := b.table.Get(ctx, table.Builds{Pool: pool}.Key())
	var e *table.Error
	switch {
	case err == nil:
		listed, err := table.DecodeBuilds(row)
		if err != nil {
			b.log.Warn("cannot decode the software versions of a pool; listing those in service", "pool", pool, "err", err)
		}
		l.Builds, l.RowVersion = listed.Builds, row.Version
	case !errors.As(err, &e) || e.Kind != table.NotFound:
		b.log.Warn("cannot read the software versions of a pool", "pool", pool, "err", err)
		return
	}
	b.log.Info("read the software versions of a pool", "pool", pool, "builds", strings.Join(l.Builds, ","), "row-version", l.RowVersion)
	b.history.SetRow(time.Now(), l)
	delete(b.tried, pool) // what it lacks may be written at once
}

func (b *buildLister) write(ctx context.Context, l backend.BuildListing, generation int64) {
	row := table.Builds{Pool: l.Pool, Builds: l.Builds}
	version, err := b.table.Commit(ctx, table.Tx{
		Checks: []table.Check{{Key: row.Key(), Version: l.RowVersion, Generation: generation}},
		Puts:   []table.Put{{Key: row.Key(), Value: row.Encode()}},
	})
	if err != nil {
		var e *table.Error
		if !errors.As(err, &e) || e.Kind != table.Conflict {
			b.log.Warn("cannot list the software versions of a pool", "pool", l.Pool, "err", err)
		}
		b.read(ctx, l.Pool)
		return
	}
	l.RowVersion = version
	b.log.Info("listed the software versions of a pool", "pool", l.Pool, "builds", strings.Join(l.Builds, ","), "row-version", version)
	b.history.SetRow(time.Now(), l)
}

// keepBuilds keeps the listings of software versions up to date.
func (d *Daemon) keepBuilds() {
	b := &buildLister{
		table: d.table, history: d.builds, isChosen: d.node.IsChosen, log: d.log,
		tried: make(map[string]time.Time), due: make(map[string]time.Time),
	}
	t := time.NewTicker(buildsInterval)
	defer t.Stop()
	for {
		if routes, view := d.state.routes.Load(), d.state.servers.View(); routes != nil && view != nil {
			d.builds.Observe(time.Now(), view, routes.ResumablePools())
			b.update(d.ctx, d.store.Generation())
		}
		select {
		case <-t.C:
		case <-d.state.changed:
		case <-d.ctx.Done():
			return
		}
	}
}

// mayBegin reports whether streams may begin at a server.
func (d *Daemon) mayBegin(s *backend.Server) bool {
	return d.builds.MayBegin(time.Now(), s.Pool, s.Build)
}

// engineOrigin returns where streams begin at an engine in the start with a boot ID, if it is known. Its row may be of
// another start; then the engine may have told the software version.
func (d *Daemon) engineOrigin(name, boot, build string) (backend.Origin, bool) {
	s, ok := d.state.servers.View().Server(name)
	switch {
	case !ok || boot == "":
		return backend.Origin{}, false
	case s.Boot() == boot:
		build = s.Build
	case build == "":
		return backend.Origin{}, false
	}
	return backend.Origin{Pool: s.Pool, Build: build}, true
}

// findOrigin returns where a stream began that a caller takes up, unless it is not known.
func (d *Daemon) findOrigin(ctx context.Context, key backend.StreamKey, pool string) (backend.Origin, bool) {
	if o, ok := d.streams.Find(key); ok {
		return o, true
	}
	own := d.builds.Known(pool)
	if build, ok := backend.OnlyBuild(own, nil, false); ok {
		return backend.Origin{Pool: pool, Build: build}, true
	}
	s := d.node.FindStream(ctx, key, pool)
	if s.Found {
		return s.Origin, true
	}
	if o, ok := d.streams.Find(key); ok { // its node told of it meanwhile
		return o, true
	}
	if o, ok := d.streams.Expected(key); ok {
		s.Granted = append(s.Granted, o)
	}
	if o, ok := backend.AgreedOrigin(s.Granted); ok {
		return o, true
	}
	build, ok := backend.OnlyBuild(own, s.Known, s.IsComplete)
	if !ok {
		d.log.Info("cannot tell where a stream began", "pool", pool, "builds", strings.Join(own.Builds, ","), "current", own.IsCurrent, "asked", s.Asked, "answers", s.Answers, "granted", len(s.Granted), "complete", s.IsComplete, "search-ms", s.Time.Milliseconds())
	}
	return backend.Origin{Pool: pool, Build: build}, ok
}
