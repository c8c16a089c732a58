package engine

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
)

// Load loads an adapter and waits until it can be used. It returns the engine's
// boot ID.
func (s *Sequencer) Load(ctx context.Context, name string, token int64) (string, error) {
	s.init()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	model, adapter := SplitAdapterName(name)
	c := Command{Load: true, Model: model, Adapter: adapter, FencingToken: token}
	if err := s.commandLock.Acquire(ctx, 1); err != nil {
		return "", err
	}
	reply, err := s.startLoad(ctx, name, c)
	s.commandLock.Release(1)
	if err != nil || reply == AlreadyDone {
		return s.bootID(), err
	}
	err = s.awaitLoad(ctx, name, c)
	return s.bootID(), err
}

// startLoad makes room for an adapter and sends the command to load it.
func (s *Sequencer) startLoad(ctx context.Context, name string, c Command) (Reply, error) {
	var reply Reply
	for attempt := 0; reply != Accepted && reply != AlreadyDone; attempt++ {
		if attempt == maxCommandAttempts {
			return reply, &Error{Op: "load", Kind: Refused, Err: errors.New("engine rejected the command after too many sequence conflicts")}
		}
		if err := s.refresh(ctx); err != nil {
			return "", err
		}
		// After a conflict the engine may have more adapters than before.
		if err := s.makeRoom(ctx, name, c.FencingToken); err != nil {
			return "", err
		}
		var err error
		if reply, err = s.sendOnce(ctx, c); err != nil {
			return reply, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, present := s.adapters[name]; reply == Accepted && !present {
		s.sequence++
	}
	if _, present := s.adapters[name]; !present {
		s.unconfirmed[name] = s.sequence
	}
	s.adapters[name] = c.Version
	return reply, nil
}

// confirmLoad asks the engine whether an adapter that no report has shown as loaded is, and fails if
// it is not. The engine would not unload it, and keeps its slot. After a conflict it does not ask
// again, since the command would load an adapter that is gone, without making room for it.
func (s *Sequencer) confirmLoad(ctx context.Context, name string, token int64) error {
	if err := s.refresh(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	version := s.adapters[name]
	_, unconfirmed := s.unconfirmed[name]
	s.mu.Unlock()
	if !unconfirmed {
		return nil
	}
	model, adapter := SplitAdapterName(name)
	c := Command{Load: true, Model: model, Adapter: adapter, Version: version, FencingToken: token, OwnConnection: true}
	reply, err := s.sendOnce(ctx, c)
	if err != nil {
		return err
	}
	if reply != AlreadyDone {
		s.invalidate() // it may not have been there at all
		return &Error{Op: "unload", Kind: Refused, Err: errors.New("the adapter is still being loaded")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unconfirmed, name)
	return nil
}

// awaitLoad waits until an accepted load has ended. It polls by sending the same
// command again: the engine replies AlreadyDone once the load has ended, and
// until then the command has no effect.
func (s *Sequencer) awaitLoad(ctx context.Context, name string, c Command) error {
	s.mu.Lock()
	expected := s.coldLoadTime
	if s.loadedBefore[name] {
		expected = s.warmLoadTime
	}
	s.mu.Unlock()
	start := time.Now()
	wait := expected
	var unanswered error // the last one of a poll without a response
	for {
		if err := s.wait(ctx, wait); err != nil {
			return cmp.Or(unanswered, err)
		}
		wait = loadPollInterval
		if err := s.commandLock.Acquire(ctx, 1); err != nil {
			return err
		}
		reply, err := s.startLoad(ctx, name, c)
		s.commandLock.Release(1)
		if IsKind(err, Failed) {
			wait, unanswered = statePollInterval, err
			continue
		}
		if IsKind(err, NotSent) {
			return cmp.Or(unanswered, err)
		}
		if err != nil {
			return err
		}
		if reply == AlreadyDone {
			s.updateLoadTime(name, expected, time.Since(start))
			return nil
		}
	}
}

// updateLoadTime updates the expected load time, which is the delay before the
// first poll. A load that had ended by the first poll may have ended well before
// it, so the expected time is then reduced by 5 percent.
func (s *Sequencer) updateLoadTime(name string, firstPoll, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := &s.coldLoadTime
	if s.loadedBefore[name] {
		estimate = &s.warmLoadTime
	}
	if took < firstPoll+loadPollInterval {
		*estimate -= *estimate / 20
	} else {
		*estimate += time.Duration(ewmaWeight * float64(took-*estimate))
	}
	s.loadedBefore[name] = true
}

// LoadModel loads the base model and waits until it can be used. It is needed
// after a restart of the engine.
func (s *Sequencer) LoadModel(ctx context.Context, token int64) error {
	s.init()
	if err := s.commandLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.commandLock.Release(1)
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if s.ModelReady() {
		return nil
	}
	reply, err := s.sendWithRetry(ctx, Command{Load: true, Model: s.Model, FencingToken: token})
	if err != nil {
		return err
	}
	if reply == Accepted {
		s.advanceSequence(func() { s.current, s.minFetchTime = false, time.Now().Add(maxReportAge) })
	}
	return s.refresh(ctx)
}
