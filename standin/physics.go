package standin

import "time"

// Timing models the speed of a continuously batching engine. A step yields
// one token to every request in the batch and takes longer with every request
// and with every distinct adapter in it. A request that joins adds the time of
// its prompt to its first step, less when the adapter's prefix is cached.
type Timing struct {
	BaseStep       time.Duration // a step with an empty batch
	PerRequest     time.Duration
	PerAdapter     time.Duration
	PerPromptToken time.Duration // per prompt token
	CacheSaving    float64       // share of the prompt time that a cached prefix saves
	CacheSize      int           // prefixes that are cached
	AdapterLoad    time.Duration // an adapter load at full speed
}

// DefaultTiming is an engine of 20 ms a step.
var DefaultTiming = Timing{
	BaseStep:       18 * time.Millisecond,
	PerRequest:     150 * time.Microsecond,
	PerAdapter:     400 * time.Microsecond,
	PerPromptToken: 60 * time.Microsecond,
	CacheSaving:    0.7,
	CacheSize:      24,
	AdapterLoad:    250 * time.Millisecond,
}

// SpeedUp returns physics that run faster by a factor.
func (p Timing) SpeedUp(factor float64) Timing {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) / factor) }
	p.BaseStep, p.PerRequest, p.PerAdapter = scale(p.BaseStep), scale(p.PerRequest), scale(p.PerAdapter)
	p.PerPromptToken, p.AdapterLoad = scale(p.PerPromptToken), scale(p.AdapterLoad)
	return p
}

// Job is one request in a batch.
type Job struct {
	ID           string
	Adapter      string
	PromptTokens int // prompt tokens
	MaxTokens    int // tokens to generate
	Generated    int // tokens generated
}

// Batch is the state of an engine's continuous batch. It reads no clock: the
// caller waits for the time that Step returns. The zero value of Physics takes
// no time.
type Batch struct {
	Timing   Timing
	Slowdown float64 // times slower than normal; 0 means 1

	jobs    []*Job
	pending time.Duration // prompt time that the next step must add
	cache   []string      // adapters with a cached prefix, most recent last
}

// Len returns the number of jobs.
func (b *Batch) Len() int { return len(b.jobs) }

// Jobs returns the jobs. The caller must not modify the slice.
func (b *Batch) Jobs() []*Job { return b.jobs }

// DistinctAdapters returns the number of distinct adapters.
func (b *Batch) DistinctAdapters() int {
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
	prompt := time.Duration(j.PromptTokens+j.Generated) * b.Timing.PerPromptToken
	if b.touchCache(j.Adapter) {
		prompt = time.Duration(float64(prompt) * (1 - b.Timing.CacheSaving))
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
	if len(b.cache) > b.Timing.CacheSize {
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
	p := b.Timing
	d := p.BaseStep + time.Duration(len(b.jobs))*p.PerRequest + time.Duration(b.DistinctAdapters())*p.PerAdapter + b.pending
	if b.Slowdown > 1 {
		d = time.Duration(float64(d) * b.Slowdown)
	}
	return d
}

// BaseStep ends a step: every job has one token more. It returns the jobs that
// are done; they have left the batch.
func (b *Batch) Step() (done []*Job) {
	b.pending = 0
	rest := b.jobs[:0]
	for _, j := range b.jobs {
		j.Generated++
		if j.Generated >= j.MaxTokens {
			done = append(done, j)
			continue
		}
		rest = append(rest, j)
	}
	clear(b.jobs[len(rest):])
	b.jobs = rest
	return done
}
