package backend

import "slices"

// KnownBuilds is what a node knows of the software versions at which streams of a pool can have begun.
type KnownBuilds struct {
	Builds []string // in order
	// IsRead is set if the row of the pool was read.
	IsRead bool
	// IsCurrent is set if no stream can have begun at another version: the row was read, and the rows of
	// servers were read since the notice of any further version began.
	IsCurrent bool
}

// OnlyBuild returns the software version at which every stream of a pool began that can still be resumed. It
// returns false if there may be several: own is what this node knows, and others are the answers of the other
// nodes. A node that does not answer may have begun streams at any version, unless one that answers is
// current. While the store is lost none is, and all must answer: isComplete reports that they have.
func OnlyBuild(own KnownBuilds, others []KnownBuilds, isComplete bool) (build string, ok bool) {
	builds := slices.Clone(own.Builds)
	isSure := own.IsCurrent || own.IsRead && isComplete
	for _, k := range others {
		builds = append(builds, k.Builds...)
		isSure = isSure || k.IsCurrent
	}
	slices.Sort(builds)
	if builds = slices.Compact(builds); len(builds) != 1 || !isSure {
		return "", false
	}
	return builds[0], true
}
