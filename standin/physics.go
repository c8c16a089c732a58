package standin

import "time"

// Physics models the speed of a continuously batching engine. A step yields
// one token to every request in the batch and takes longer with every request
// and with every distinct adapter in it. A request that joins adds the time of
// its prompt to its first step, less when the adapter's prefix is cached.
type Physics struct {
	Step        time.Duration // a step with an empty batch
	PerRequest  time.Duration
	PerAdapter  time.Duration
	PerPrompt   time.Duration // per prompt token
	CacheSaving float64       // share of the prompt time that a cached prefix saves
	CacheSize   int           // prefixes that are cached
	Load        time.Duration // an adapter load at full speed
}

// DefaultPhysics is an engine of 20 ms a step.
var DefaultPhysics = Physics{
	Step:        18 * time.Millisecond,
	PerRequest:  150 * time.Microsecond,
	PerAdapter:  400 * time.Microsecond,
	PerPrompt:   60 * time.Microsecond,
	CacheSaving: 0.7,
	CacheSize:   24,
	Load:        250 * time.Millisecond,
}

// Scaled returns physics that run faster by a factor.
func (p Physics) Scaled(factor float64) Physics {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) / factor) }
	p.Step, p.PerRequest, p.PerAdapter = scale(p.Step), scale(p.PerRequest), scale(p.PerAdapter)
	p.PerPrompt, p.Load = scale(p.PerPrompt), scale(p.Load)
	return p
}

// Job is one request in a batch.
type Job struct {
	ID      string
	Adapter string
	Prompt  int // prompt tokens
	Tokens  int // tokens to generate
	Done    int // tokens generated
}

// Batch is the state of an engine's continuous batch. It reads no clock: the
// caller waits for the time that Step returns. The zero value of Physics takes
// no time.
type Batch struct {
	Physics Physics
	Slow    float64 // times slower than normal; 0 means 1

	jobs    []*Job
	pending time.Duration // prompt time that the next step must add
	cache   []string      // adapters with a cached prefix, most recent last
}

// Len returns the number of jobs.
func (b *Batch) Len() int { return len(b.jobs) }

// Jobs returns the jobs. The caller must not modify the slice.
func (b *Batch) Jobs() []*Job { return b.jobs }

// Distinct returns the number of distinct adapters.
func (b *Batch) Distinct() int {
	n := 0
	for i, j := range b.jobs {
		first := true
		for _, o := range b.jobs[:i] {
			if o.Adapter == j.Adapter {
				first = false
				break
			}
		}
		if first {
			n++
		}
	}
	return n
}

// Add lets a job join the batch.
func (b *Batch) Add(j *Job) {
	prompt := time.Duration(j.Prompt+j.Done) * b.Physics.PerPrompt
	if b.touchCache(j.Adapter) {
		prompt = time.Duration(float64(prompt) * (1 - b.Physics.CacheSaving))
	}
	b.pending += prompt
	b.jobs = append(b.jobs, j)
}

func (b *Batch) touchCache(adapter string) (hit bool) {
	for i, a := range b.cache {
		if a == adapter {
			b.cache = append(append(b.cache[:i:i], b.cache[i+1:]...), adapter)
			return true
		}
	}
	b.cache = append(b.cache, adapter)
	if len(b.cache) > b.Physics.CacheSize {
		b.cache = b.cache[1:]
	}
	return false
}

// Remove takes a job out of the batch.
func (b *Batch) Remove(id string) {
	for i, j := range b.jobs {
		if j.ID == id {
			b.jobs = append(b.jobs[:i], b.jobs[i+1:]...)
			return
		}
	}
}

// StepTime returns how long the next step takes.
func (b *Batch) StepTime() time.Duration {
	p := b.Physics
	d := p.Step + time.Duration(len(b.jobs))*p.PerRequest + time.Duration(b.Distinct())*p.PerAdapter + b.pending
	if b.Slow > 1 {
		d = time.Duration(float64(d) * b.Slow)
	}
	return d
}

// Step ends a step: every job has one token more. It returns the jobs that
// are done; they have left the batch.
func (b *Batch) Step() (done []*Job) {
	b.pending = 0
	rest := b.jobs[:0]
	for _, j := range b.jobs {
		j.Done++
		if j.Done >= j.Tokens {
			done = append(done, j)
			continue
		}
		rest = append(rest, j)
	}
	clear(b.jobs[len(rest):])
	b.jobs = rest
	return done
}
