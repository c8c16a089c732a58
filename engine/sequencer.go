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
	// stateLag bounds how old a report may be.
	stateLag = 400 * time.Millisecond
	// staleLimit is for how long a report that does not show the orders that
	// were answered is taken for an old one.
	staleLimit = time.Second
	// settlePause is the time between two looks at an engine's state.
	settlePause = 100 * time.Millisecond
	// settleTries bounds how often an order is tried after a conflict.
	settleTries = 4
	// probePause is the time between two questions whether a load has ended.
	probePause = 15 * time.Millisecond
	// lateLimit is how long after it was sent an order may be carried out: the
	// platform's bound and a margin.
	lateLimit = 13 * time.Second
	// loadPatience is how long a load is waited for before it counts as lost.
	loadPatience = 5 * time.Second
)

// Sequencer gives orders to one engine that numbers them. It sends one order at
// a time, each with the sequence that it expects, so that an order that is
// carried out late does nothing; after an order without an answer it reads the
// engine's state before the next. It never orders more adapters than the
// engine has slots for, since that would crash it.
type Sequencer struct {
	Slots      int
	Model      string // the base model that the engine must hold
	Send       func(ctx context.Context, c Command) (Reply, error)
	FetchState func(ctx context.Context) (State, error)
	// CanSend, if set, reports whether an order may be sent now. It is asked right
	// before each, since a load takes several orders and may wait between them.
	CanSend func() bool
	// InUse reports whether an adapter is in use or wanted, so that it must
	// not be unloaded to make room.
	InUse func(name string) bool

	once    sync.Once
	sending *semaphore.Weighted // held while an order is on its way

	mu       sync.Mutex // guards the fields below
	known    bool       // they show the engine's present state
	notUntil time.Time  // a state fetched before may be older than our last order
	boot     string
	sequence int64
	hasModel bool
	held     map[string]int64 // adapters in slots, those on their way included
	warm     map[string]bool  // adapters that the engine has held before: they load faster
	// unanswered lists loads that may still be carried out.
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

// LoadReport returns the engine's state in the form of [Report]. It also brings
// the sequencer up to date.
func (s *Sequencer) Report(ctx context.Context) (LoadReport, error) {
	s.init()
	if err := s.sending.Acquire(ctx, 1); err != nil {
		return LoadReport{}, err
	}
	defer s.sending.Release(1)
	asked := time.Now()
	st, err := s.FetchState(ctx)
	if err != nil {
		s.doubt() // it may be restarting
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

// start tells which start of the engine is known.
func (s *Sequencer) start() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// ModelReady reports whether the engine holds its base model.
func (s *Sequencer) ModelReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known && s.hasModel
}

// merge takes over a state unless it may be older than what is known.
func (s *Sequencer) merge(asked time.Time, st State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != "" && st.Boot != s.boot {
		clear(s.held) // it restarted, and holds nothing of before
		s.known, s.notUntil = false, time.Time{}
	}
	if s.known && st.Boot == s.boot && st.Sequence <= s.sequence {
		s.hasModel = s.hasModel || slices.Contains(st.Models, s.Model)
		return // nothing that this sequencer did not order itself
	}
	if asked.Before(s.notUntil) && st.Boot == s.boot {
		return
	}
	if st.Boot == s.boot && st.Sequence < s.sequence && asked.Before(s.notUntil.Add(staleLimit)) {
		return // it does not show orders that were answered
	}
	s.boot, s.sequence, s.hasModel, s.known = st.Boot, st.Sequence, slices.Contains(st.Models, s.Model), !st.ChangingModel
	clear(s.held)
	maps.Copy(s.held, st.Loaded)
	maps.Copy(s.held, st.Loading)
	for name := range s.held {
		s.warm[name] = true
	}
}

// settle makes the known state current. The sending semaphore is held.
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

// doubt records that the engine's state is not known until a report that is
// younger than the last order.
func (s *Sequencer) doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known, s.notUntil = false, time.Now().Add(stateLag)
}

// order sends one command, again after a conflict. It is not for loads, which
// need a slot.
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
	return Conflict, &Error{Op: "order", Kind: Refused, Err: errors.New("the engine does not take orders")}
}

// orderOnce sends one command at the known sequence. After a conflict the state
// is unknown.
func (s *Sequencer) orderOnce(ctx context.Context, c Command) (Reply, error) {
	if s.CanSend != nil && !s.CanSend() {
		return "", &Error{Op: "order", Kind: NotSent, Err: errors.New("the lease does not allow it")}
	}
	s.mu.Lock()
	c.ExpectedSequence = s.sequence
	_, held := s.held[JoinAdapterName(c.Model, c.Adapter)]
	s.mu.Unlock()
	reply, err := s.Send(ctx, c)
	switch {
	case err != nil && c.Load && held:
		// At this sequence the order changes nothing, whenever it arrives. If it
		// brings a new version after all, the next order meets another sequence.
		s.noteUnanswered(c)
		return "", &Error{Op: "ask", Kind: Failed, Err: err}
	case err != nil:
		s.doubt()
		s.noteUnanswered(c)
		return "", err
	case reply == StaleToken:
		return reply, &Error{Op: "order", Kind: Fenced}
	case reply == WrongIncarnation:
		return reply, &Error{Op: "order", Kind: Refused, Err: errors.New("another incarnation answered")}
	case reply == Conflict:
		s.doubt()
	}
	return reply, nil
}

// advance counts an order that the engine accepted.
func (s *Sequencer) advance(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	f()
}

// Unload makes the engine drop an adapter that no request uses.
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
		// It waits for the runs of the adapter: the slot is not free yet.
		s.advance(func() {})
		s.doubt()
		return nil
	}
	s.advance(func() { delete(s.held, name) })
	return nil
}

// Stats makes the engine load an adapter, and returns when it can be used.
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

// begin sends the order to load once the engine has a slot for it.
func (s *Sequencer) begin(ctx context.Context, name string, c Command) (Reply, error) {
	var reply Reply
	for try := 0; reply != Accepted && reply != AlreadyDone; try++ {
		if try == settleTries {
			return reply, &Error{Op: "load", Kind: Refused, Err: errors.New("the engine does not take orders")}
		}
		if err := s.settle(ctx); err != nil {
			return "", err
		}
		// After a conflict the engine may hold more than before.
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

// await waits until a load that was accepted has ended. The engine says so
// when the same order is given again; until then that order changes nothing.
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

// learn corrects when the next load is first asked about. A load that had
// ended by the first question may have ended well before, so the next question
// comes a little sooner.
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

// LoadModel makes the engine load its base model, and returns when it can be
// used. An engine that restarted holds none.
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
