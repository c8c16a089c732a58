package standin

import "time"

// Timing models the speed of an engine with continuous batching. A step generates
// one token for every request in the batch; its time grows with the number of
// requests and of distinct adapters. The prefill of a new request is added to its
// first step, and is shorter when the adapter's prefix is cached.
type Timing struct {
	BaseStep       time.Duration // time of a step without the parts below
	PerRequest     time.Duration
	PerAdapter     time.Duration
	PerPromptToken time.Duration // prefill
	CacheSaving    float64       // fraction of the prefill time that a cached prefix saves
	CacheSize      int           // number of cached prefixes
	AdapterLoad    time.Duration // time to load an adapter at full speed
}

// DefaultTiming is the timing of an engine with steps of about 20 ms.
var DefaultTiming = Timing{
	BaseStep:       18 * time.Millisecond,
	PerRequest:     150 * time.Microsecond,
	PerAdapter:     400 * time.Microsecond,
	PerPromptToken: 60 * time.Microsecond,
	CacheSaving:    0.7,
	CacheSize:      24,
	AdapterLoad:    250 * time.Millisecond,
}

// SpeedUp returns the timing of an engine that is faster by factor.
func (t Timing) SpeedUp(factor float64) Timing {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) / factor) }
	t.BaseStep, t.PerRequest, t.PerAdapter = scale(t.BaseStep), scale(t.PerRequest), scale(t.PerAdapter)
	t.PerPromptToken, t.AdapterLoad = scale(t.PerPromptToken), scale(t.AdapterLoad)
	return t
}

// Job is a request in a batch.
type Job struct {
	ID           string
	Adapter      string
	PromptTokens int
	MaxTokens    int // number of tokens to generate
	Generated    int // number of tokens generated so far
}

// Batch is the state of an engine's continuous batch. It does not read the clock:
// the caller waits for the time that StepTime returns before it calls Step. With a
// zero Timing, steps take no time.
type Batch struct {
	Timing   Timing
	Slowdown float64 // factor on the step time; values up to 1 have no effect

	jobs           []*Job
	pendingPrefill time.Duration // prefill time to be added to the next step
	prefixCache    []string      // adapters with a cached prefix, most recently used last
}

// Len returns the number of jobs.
func (b *Batch) Len() int { return len(b.jobs) }

// Jobs returns the jobs. The caller must not modify the slice.
func (b *Batch) Jobs() []*Job { return b.jobs }

// DistinctAdapters returns the number of distinct adapters in the batch.
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

// Add adds a job to the batch.
func (b *Batch) Add(j *Job) {
	prompt := time.Duration(j.PromptTokens+j.Generated) * b.Timing.PerPromptToken
	if b.usePrefix(j.Adapter) {
		prompt = time.Duration(float64(prompt) * (1 - b.Timing.CacheSaving))
	}
	b.pendingPrefill += prompt
	b.jobs = append(b.jobs, j)
}

// usePrefix makes an adapter's prefix the most recently used one, and reports
// whether it was cached.
func (b *Batch) usePrefix(adapter string) (hit bool) {
	for i, a := range b.prefixCache {
		if a == adapter {
			b.prefixCache = append(append(b.prefixCache[:i:i], b.prefixCache[i+1:]...), adapter)
			return true
		}
	}
	b.prefixCache = append(b.prefixCache, adapter)
	if len(b.prefixCache) > b.Timing.CacheSize {
		b.prefixCache = b.prefixCache[1:]
	}
	return false
}

// Remove removes a job from the batch.
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
	t := b.Timing
	d := t.BaseStep + time.Duration(len(b.jobs))*t.PerRequest + time.Duration(b.DistinctAdapters())*t.PerAdapter + b.pendingPrefill
	if b.Slowdown > 1 {
		d = time.Duration(float64(d) * b.Slowdown)
	}
	return d
}

// Step finishes a step: it adds one generated token to every job, removes the
// finished jobs from the batch and returns them.
func (b *Batch) Step() (done []*Job) {
	b.pendingPrefill = 0
	running := b.jobs[:0]
	for _, j := range b.jobs {
		j.Generated++
		if j.Generated >= j.MaxTokens {
			done = append(done, j)
			continue
		}
		running = append(running, j)
	}
	clear(b.jobs[len(running):])
	b.jobs = running
	return done
}
