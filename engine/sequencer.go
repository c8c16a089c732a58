package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// stateLag is the maximum age of a report when it arrives.
	stateLag = 400 * time.Millisecond
	// staleLimit is how long a report that lacks accepted commands is discarded as
	// stale. After that, the engine's sequence number is taken over as reported.
	staleLimit = time.Second
	// settlePause is the interval between two fetches of an engine's state.
	settlePause = 100 * time.Millisecond
	// settleTries is the maximum number of attempts at a command that ends in a conflict.
	settleTries = 4
	// probePause is the interval between two polls for the end of a load.
	probePause = 15 * time.Millisecond
	// lateLimit is how long after sending a command the engine may still execute
	// it: the platform's bound plus a margin.
	lateLimit = 13 * time.Second
	// loadPatience is the timeout of a load.
	loadPatience = 5 * time.Second
)

// Sequencer sends commands to a sequenced engine. It sends one command at a time,
// each with the expected sequence number, so that a delayed command has no
// effect. After a command without a reply it fetches the engine's state before
// it sends the next one. It never loads more adapters than the engine has slots
// for, since that would crash the engine.
type Sequencer struct {
	Slots      int
	Model      string // base model of the engine
	Send       func(ctx context.Context, c Command) (Reply, error)
	FetchState func(ctx context.Context) (State, error)
	// CanSend, if set, reports whether a command may be sent now. It is called right
	// before each command, since a load takes several commands with waits between
	// them, during which the lease may end.
	CanSend func() bool
	// InUse reports whether an adapter must not be unloaded to make room. If it
	// is nil, any adapter may be unloaded.
	InUse func(name string) bool

	once    sync.Once
	sending *semaphore.Weighted // held while a command is in flight

	mu       sync.Mutex // guards the fields below
	known    bool       // the fields below are current
	notUntil time.Time  // a state fetched before this time may predate the last command
	boot     string
	sequence int64
	hasModel bool
	held     map[string]int64 // versions of the adapters in slots, including those being loaded
	warm     map[string]bool  // adapters loaded before; loading them again is faster
	// unanswered lists the load commands without a reply that may still be executed.
	unanswered []unanswered
	coldTime   time.Duration
	warmTime   time.Duration
}

func (s *Sequencer) init() {
	s.once.Do(func() {
		s.sending = semaphore.NewWeighted(1)
		s.held, s.warm = make(map[string]int64), make(map[string]bool)
		s.coldTime, s.warmTime = 250*time.Millisecond, 25*time.Millisecond
	})
}

// LoadReport fetches the engine's state, updates the sequencer with it, and returns
// it as a [Report].
func (s *Sequencer) Report(ctx context.Context) (LoadReport, error) {
	s.init()
	if err := s.sending.Acquire(ctx, 1); err != nil {
		return LoadReport{}, err
	}
	defer s.sending.Release(1)
	asked := time.Now()
	st, err := s.FetchState(ctx)
	if err != nil {
		s.doubt() // the engine may be restarting
		return LoadReport{}, err
	}
	s.merge(asked, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := LoadReport{Boot: s.boot, Running: st.Running}
	for name := range s.held {
		if _, coming := st.Loading[name]; !coming {
			r.Loaded = append(r.Loaded, name)
		}
	}
	return r, nil
}

// start returns the boot id of the last known state.
func (s *Sequencer) start() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// ModelReady reports whether the base model is known to be loaded.
func (s *Sequencer) ModelReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known && s.hasModel
}

// merge updates the sequencer with a fetched state, unless the state may be older
// than what the sequencer knows. The fetch started at the time asked.
func (s *Sequencer) merge(asked time.Time, st State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != "" && st.Boot != s.boot {
		clear(s.held) // a restarted engine has no adapters
		s.known, s.notUntil = false, time.Time{}
	}
	if s.known && st.Boot == s.boot && st.Sequence <= s.sequence {
		s.hasModel = s.hasModel || slices.Contains(st.Models, s.Model)
		return // the state has no commands from other senders
	}
	if asked.Before(s.notUntil) && st.Boot == s.boot {
		return
	}
	if st.Boot == s.boot && st.Sequence < s.sequence && asked.Before(s.notUntil.Add(staleLimit)) {
		return // the state lacks accepted commands
	}
	s.boot, s.sequence, s.hasModel, s.known = st.Boot, st.Sequence, slices.Contains(st.Models, s.Model), !st.ChangingModel
	clear(s.held)
	maps.Copy(s.held, st.Loaded)
	maps.Copy(s.held, st.Loading)
	for name := range s.held {
		s.warm[name] = true
	}
}

// settle fetches the state until it is current. The caller holds s.sending.
func (s *Sequencer) settle(ctx context.Context) error {
	for {
		s.mu.Lock()
		known, wait := s.known, time.Until(s.notUntil)
		s.mu.Unlock()
		if known {
			return nil
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
		asked := time.Now()
		st, err := s.FetchState(ctx)
		if err != nil {
			return err
		}
		s.merge(asked, st)
		s.mu.Lock()
		known = s.known
		s.mu.Unlock()
		if known {
			return nil
		}
		if err := pause(ctx, settlePause); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// doubt marks the known state as out of date until a state is fetched that is
// newer than the last command.
func (s *Sequencer) doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known, s.notUntil = false, time.Now().Add(stateLag)
}

// order sends a command and retries it after conflicts. It must not be used for
// adapter loads, since it does not make room for them.
func (s *Sequencer) order(ctx context.Context, c Command) (Reply, error) {
	for range settleTries {
		if err := s.settle(ctx); err != nil {
			return "", err
		}
		reply, err := s.orderOnce(ctx, c)
		if err != nil || reply != Conflict {
			return reply, err
		}
	}
	return Conflict, &Error{Op: "order", Kind: Refused, Err: errors.New("engine rejected the command after too many sequence conflicts")}
}

// orderOnce sends a command once, with the known sequence number. A conflict
// marks the known state as out of date.
func (s *Sequencer) orderOnce(ctx context.Context, c Command) (Reply, error) {
	if s.CanSend != nil && !s.CanSend() {
		return "", &Error{Op: "order", Kind: NotSent, Err: errors.New("the lease does not permit commands now")}
	}
	s.mu.Lock()
	c.ExpectedSequence = s.sequence
	_, held := s.held[JoinAdapterName(c.Model, c.Adapter)]
	s.mu.Unlock()
	reply, err := s.Send(ctx, c)
	switch {
	case err != nil && c.Load && held:
		// At this sequence number the adapter is loaded already, so a late command has
		// no effect. If it does load a new version, the next command gets a conflict.
		s.noteUnanswered(c)
		return "", &Error{Op: "ask", Kind: Failed, Err: err}
	case err != nil:
		s.doubt()
		s.noteUnanswered(c)
		return "", err
	case reply == StaleToken:
		return reply, &Error{Op: "order", Kind: Fenced}
	case reply == WrongIncarnation:
		return reply, &Error{Op: "order", Kind: Refused, Err: errors.New("another incarnation of the server replied")}
	case reply == Conflict:
		s.doubt()
	}
	return reply, nil
}

// advance increments the sequence number for an accepted command and calls f
// with the lock held.
func (s *Sequencer) advance(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	f()
}

// Unload unloads an adapter that no request uses. It returns the engine's boot id.
func (s *Sequencer) Unload(ctx context.Context, name string, token int64) (string, error) {
	s.init()
	if err := s.sending.Acquire(ctx, 1); err != nil {
		return "", err
	}
	defer s.sending.Release(1)
	err := s.unload(ctx, name, token)
	return s.start(), err
}

func (s *Sequencer) unload(ctx context.Context, name string, token int64) error {
	model, adapter := SplitAdapterName(name)
	reply, err := s.order(ctx, Command{Model: model, Adapter: adapter, Token: token})
	if err != nil {
		return err
	}
	if reply == Accepted {
		// The engine unloads once running requests of the adapter have ended, so
		// the slot is not free yet.
		s.advance(func() {})
		s.doubt()
		return nil
	}
	s.advance(func() { delete(s.held, name) })
	return nil
}

// Stats loads an adapter and waits until it can be used. It returns the engine's
// boot id.
func (s *Sequencer) Load(ctx context.Context, name string, token int64) (string, error) {
	s.init()
	ctx, cancel := context.WithTimeout(ctx, loadPatience)
	defer cancel()
	model, adapter := SplitAdapterName(name)
	c := Command{Load: true, Model: model, Adapter: adapter, Token: token}
	if err := s.sending.Acquire(ctx, 1); err != nil {
		return "", err
	}
	reply, err := s.begin(ctx, name, c)
	s.sending.Release(1)
	if err != nil || reply == AlreadyDone {
		return s.start(), err
	}
	err = s.await(ctx, name, c)
	return s.start(), err
}

// begin makes room for an adapter and sends the command to load it.
func (s *Sequencer) begin(ctx context.Context, name string, c Command) (Reply, error) {
	var reply Reply
	for try := 0; reply != Accepted && reply != AlreadyDone; try++ {
		if try == settleTries {
			return reply, &Error{Op: "load", Kind: Refused, Err: errors.New("engine rejected the command after too many sequence conflicts")}
		}
		if err := s.settle(ctx); err != nil {
			return "", err
		}
		// After a conflict the engine may have more adapters than before.
		if err := s.makeRoom(ctx, name, c.Token); err != nil {
			return "", err
		}
		var err error
		if reply, err = s.orderOnce(ctx, c); err != nil {
			return reply, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, coming := s.held[name]; reply == Accepted && !coming {
		s.sequence++
	}
	s.held[name] = c.Version
	return reply, nil
}

// await waits until an accepted load has ended. It polls by sending the same
// command again: the engine replies Already once the load has ended, and until
// then the command has no effect.
func (s *Sequencer) await(ctx context.Context, name string, c Command) error {
	s.mu.Lock()
	usual := s.coldTime
	if s.warm[name] {
		usual = s.warmTime
	}
	s.mu.Unlock()
	start := time.Now()
	wait := usual
	for {
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = probePause
		if err := s.sending.Acquire(ctx, 1); err != nil {
			return err
		}
		reply, err := s.begin(ctx, name, c)
		s.sending.Release(1)
		if IsKind(err, Failed) {
			wait = settlePause
			continue
		}
		if err != nil {
			return err
		}
		if reply == AlreadyDone {
			s.learn(name, usual, time.Since(start))
			return nil
		}
	}
}

// learn updates the expected load time, which is the delay before the first poll.
// A load that had ended by the first poll may have ended well before it, so the
// expected time is reduced by 5 percent.
func (s *Sequencer) learn(name string, asked, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := &s.coldTime
	if s.warm[name] {
		usual = &s.warmTime
	}
	if took < asked+probePause {
		*usual -= *usual / 20
	} else {
		*usual += time.Duration(estimateWeight * float64(took-*usual))
	}
	s.warm[name] = true
}

// LoadModel loads the base model and waits until it can be used. It is needed
// after a restart of the engine.
func (s *Sequencer) LoadModel(ctx context.Context, token int64) error {
	s.init()
	if err := s.sending.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.sending.Release(1)
	if err := s.settle(ctx); err != nil {
		return err
	}
	if s.ModelReady() {
		return nil
	}
	reply, err := s.order(ctx, Command{Load: true, Model: s.Model, Token: token})
	if err != nil {
		return err
	}
	if reply == Accepted {
		s.advance(func() { s.known, s.notUntil = false, time.Now().Add(stateLag) })
	}
	return s.settle(ctx)
}
