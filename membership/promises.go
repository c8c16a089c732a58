package membership

import (
	"sync"
	"time"
)

// Promises is what a node remembers as a witness of others: when it last agreed to
// extend a lease, and which sessions it has promised not to support any more. It is safe
// for concurrent use.
//
// A promise names the version of the session row that the replacing node has read.
// The owner names the version that it has confirmed. Once an owner has renewed its
// session, earlier promises against it have no effect, since the transaction that
// ends its session requires the earlier version. Versions are those of one generation of the
// table, and a witness answers for the latest one that it knows only.
type Promises struct {
	// LeaseTime is how long after a consent a lease that counts it may be in use,
	// including the margin for clocks.
	LeaseTime time.Duration
	// Retention is how long a promise is remembered: longer than a lease can be extended
	// without a renewal in the table.
	Retention time.Duration

	mu         sync.Mutex
	generation int64                // of the table, in which the promises were given
	contacts   map[string]time.Time // by process: the last time its lease was known to be in use
	promised   map[string]promise   // by process
}

type promise struct {
	version int64 // of the session row
	at      time.Time
}

// RecordContact records that a process said it had a valid lease.
func (p *Promises) RecordContact(process string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(process, now)
}

func (p *Promises) recordContact(process string, now time.Time) {
	if p.contacts == nil {
		p.contacts = make(map[string]time.Time)
	}
	p.contacts[process] = now
}

// HasContact reports whether the process is known to have had a lease that may still be in
// use.
func (p *Promises) HasContact(process string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.contacts[process]
	return ok && now.Sub(at) <= p.LeaseTime
}

// Consent reports whether the process may count on this witness for an extension of the
// lease that it holds by the session row at the given version.
func (p *Promises) Consent(process string, generation, version int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation != p.generation {
		return false
	}
	if pr, ok := p.promised[process]; ok && version <= pr.version {
		return false
	}
	p.recordContact(process, now)
	return true
}

// Promise reports whether this witness promises to give no more consent for the session
// row at the given version. It does not while a lease that counts its last
// consent may be in use.
func (p *Promises) Promise(process string, generation, version int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation != p.generation {
		return false
	}
	if at, ok := p.contacts[process]; ok && now.Sub(at) <= p.LeaseTime {
		return false
	}
	if p.promised == nil {
		p.promised = make(map[string]promise)
	}
	p.promised[process] = promise{version: max(version, p.promised[process].version), at: now}
	return true
}

// StartGeneration deletes all promises, since a restored table gives out versions again, and
// gives neither consents nor promises in an earlier generation any more. The contacts stay.
func (p *Promises) StartGeneration(generation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation = generation
	clear(p.promised)
}

// Expire deletes records that are too old to affect a decision.
func (p *Promises) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, at := range p.contacts {
		if now.Sub(at) > p.LeaseTime {
			delete(p.contacts, process)
		}
	}
	for process, pr := range p.promised {
		if now.Sub(pr.at) > p.Retention {
			delete(p.promised, process)
		}
	}
}
