package engine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// maxReportAge is the maximum age of a report when it arrives.
	maxReportAge = 400 * time.Millisecond
	// staleReportLimit is how long reports that lack accepted commands are discarded
	// as stale. After that, the reported state is used.
	staleReportLimit = time.Second
	// statePollInterval is the interval between two fetches of an engine's state.
	statePollInterval = 100 * time.Millisecond
	// maxCommandAttempts is the maximum number of attempts at a command that ends
	// in a conflict.
	maxCommandAttempts = 4
	// maxSendAttempts bounds how often a command without a reply is sent.
	maxSendAttempts = 3
	// resendAfter is the time after which a command without a reply is sent again. Engines
	// reply within milliseconds, and each copy that is not needed costs a connection.
	resendAfter = 100 * time.Millisecond
	// loadPollInterval is the interval between two polls for the end of a load.
	loadPollInterval = 15 * time.Millisecond
	// maxCommandDelay is how long after a command was sent the engine may still
	// execute it: the platform's bound plus a margin.
	maxCommandDelay = 13 * time.Second
	// loadTimeout is how long a load may take before it counts as failed.
	loadTimeout = 5 * time.Second
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
	// them, during which the lease may end. Send finds it in its context; see [MaySend].
	CanSend func() bool
	// Ending, if set, returns a channel that is closed once no more commands will be sent. A load
	// of several commands then ends after the one in flight, without waiting for what the
	// engine does.
	Ending func() <-chan struct{}
	// TimeLeft, if set, returns after how long a command must have ended: with the lease.
	TimeLeft func() time.Duration
	// OnUnanswered, if set, is called when a command ends without a response. It may still
	// arrive at the engine.
	OnUnanswered func()
	// LateLoads has the loads without a reply, also those of former owners that they handed on. If it is nil, the
	// sequencer starts with none. OnLateLoad, if set, is called when it has another one.
	LateLoads  *LateLoads
	OnLateLoad func()
	// TakenOver is set if a former owner may have sent loads without a reply that are not in LateLoads.
	TakenOver bool
	// InUse reports whether an adapter must not be unloaded to make room. If it
	// is nil, any adapter may be unloaded.
	InUse func(name string) bool

	once        sync.Once
	commandLock *semaphore.Weighted // held while a command is in flight or the state is fetched

	mu           sync.Mutex // guards the fields below
	current      bool       // the fields below match the engine's state
	minFetchTime time.Time  // a state fetched before this time may predate the last command
	boot         string
	build        string // software version of that start, if it is known
	sequence     int64
	modelLoaded  bool             // by the last known state; commands for adapters do not change it
	unreachable  bool             // the last fetch of the state failed
	adapters     map[string]int64 // versions of adapters in slots, including those being loaded
	loadedBefore map[string]bool  // adapters loaded before; loading them again is faster
	// unconfirmed lists the adapters that no report has shown as loaded yet, with the sequence
	// number after their load was accepted. The replies that said so are not certain.
	unconfirmed  map[string]int64
	begun        time.Time // when the sequencer was first used
	startedAt    time.Time // when the engine started; zero if unknown
	fullBoot     string    // boot ID of the first known state, if the engine had no free slot
	coldLoadTime time.Duration
	warmLoadTime time.Duration
}

func (s *Sequencer) init() {
	s.once.Do(func() {
		s.commandLock, s.begun = semaphore.NewWeighted(1), time.Now()
		if s.LateLoads == nil {
			s.LateLoads = &LateLoads{}
		}
		s.adapters, s.loadedBefore, s.unconfirmed = make(map[string]int64), make(map[string]bool), make(map[string]int64)
		s.coldLoadTime, s.warmLoadTime = 250*time.Millisecond, 25*time.Millisecond
	})
}

// Report fetches the engine's state, updates the sequencer with it, and returns
// it as a [LoadReport].
func (s *Sequencer) Report(ctx context.Context) (LoadReport, error) {
	s.init()
	if err := s.commandLock.Acquire(ctx, 1); err != nil {
		return LoadReport{}, err
	}
	defer s.commandLock.Release(1)
	fetchStart := time.Now()
	st, err := s.FetchState(ctx)
	if err != nil {
		s.invalidate()
		s.setUnreachable() // it may be restarting
		return LoadReport{}, err
	}
	s.merge(fetchStart, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := LoadReport{Boot: s.boot, Running: st.Running}
	for name := range s.adapters {
		if _, loading := st.Loading[name]; !loading {
			r.Loaded = append(r.Loaded, name)
		}
	}
	return r, nil
}

// bootID returns the boot ID of the last known state.
func (s *Sequencer) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// BuildOf returns the engine's software version if the last known state is of the start with the
// given boot ID and tells it.
func (s *Sequencer) BuildOf(boot string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != s.boot {
		return ""
	}
	return s.build
}

// ModelReady reports whether the base model is known to be loaded. It stays so while the outcome of
// a command for an adapter is not known: only further commands have to wait for that.
func (s *Sequencer) ModelReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoaded && !s.unreachable
}

func (s *Sequencer) setUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = true
}

// merge updates the sequencer with a state fetched at fetchStart, unless the
// state may be older than what the sequencer knows.
func (s *Sequencer) merge(fetchStart time.Time, st State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = false
	if s.boot != "" && st.Boot != s.boot {
		clear(s.adapters) // a restarted engine has no adapters
		clear(s.unconfirmed)
		s.current, s.modelLoaded, s.minFetchTime = false, false, time.Time{}
	}
	for name, sequence := range s.unconfirmed {
		if _, loaded := st.Loaded[name]; loaded && st.Sequence >= sequence {
			delete(s.unconfirmed, name)
		}
	}
	if s.current && st.Boot == s.boot && st.Sequence <= s.sequence {
		s.modelLoaded = s.modelLoaded || slices.Contains(st.Models, s.Model)
		return // the state has no commands from other senders
	}
	if fetchStart.Before(s.minFetchTime) && st.Boot == s.boot {
		return
	}
	if st.Boot == s.boot && st.Sequence < s.sequence && fetchStart.Before(s.minFetchTime.Add(staleReportLimit)) {
		return // the state lacks accepted commands
	}
	if s.boot == "" && len(st.Loaded)+len(st.Loading) >= s.Slots {
		s.fullBoot = st.Boot
	}
	s.boot, s.build, s.startedAt = st.Boot, st.Build, st.StartedAt
	s.sequence, s.modelLoaded, s.current = st.Sequence, slices.Contains(st.Models, s.Model) && !st.ChangingModel, !st.ChangingModel
	clear(s.adapters)
	maps.Copy(s.adapters, st.Loaded)
	maps.Copy(s.adapters, st.Loading)
	for name := range s.adapters {
		s.loadedBefore[name] = true
	}
	clear(s.unconfirmed)
	for name := range st.Loading {
		s.unconfirmed[name] = st.Sequence
	}
}

// refresh fetches the state until it is current. The caller must hold s.commandLock.
func (s *Sequencer) refresh(ctx context.Context) error {
	for {
		if err := s.checkEnding(); err != nil {
			return err
		}
		s.mu.Lock()
		current, wait := s.current, time.Until(s.minFetchTime)
		s.mu.Unlock()
		if current {
			return nil
		}
		if err := s.wait(ctx, wait); err != nil {
			return err
		}
		fetchStart := time.Now()
		st, err := s.FetchState(ctx)
		if err != nil {
			return err
		}
		s.merge(fetchStart, st)
		s.mu.Lock()
		current = s.current
		s.mu.Unlock()
		if current {
			return nil
		}
		if err := s.wait(ctx, statePollInterval); err != nil {
			return err
		}
	}
}

// wait waits for d, or less if no more commands will be sent.
func (s *Sequencer) wait(ctx context.Context, d time.Duration) error {
	if err := s.checkEnding(); err != nil || d <= 0 {
		return cmp.Or(err, ctx.Err())
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ending():
		return s.checkEnding()
	}
}

// ending returns a channel that is closed once no more commands will be sent.
func (s *Sequencer) ending() <-chan struct{} {
	if s.Ending == nil {
		return nil
	}
	return s.Ending()
}

func (s *Sequencer) checkEnding() error {
	select {
	case <-s.ending():
		return &Error{Op: "order", Kind: NotSent, Err: errors.New("no more commands are sent to the engine")}
	default:
		return nil
	}
}

// invalidate marks the known state as out of date until a state is fetched that
// is newer than the last command.
func (s *Sequencer) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.minFetchTime = false, time.Now().Add(maxReportAge)
}

// sendWithRetry sends a command and retries it after conflicts. It must not be
// used for adapter loads, since it does not make room for them.
func (s *Sequencer) sendWithRetry(ctx context.Context, c Command) (Reply, error) {
	for range maxCommandAttempts {
		if err := s.refresh(ctx); err != nil {
			return "", err
		}
		reply, err := s.sendOnce(ctx, c)
		if err != nil || reply != Conflict {
			return reply, err
		}
	}
	return Conflict, &Error{Op: "order", Kind: Refused, Err: errors.New("engine rejected the command after too many sequence conflicts")}
}

// sendOnce sends a command once, with the known sequence number. A conflict
// marks the known state as out of date.
func (s *Sequencer) sendOnce(ctx context.Context, c Command) (Reply, error) {
	s.mu.Lock()
	c.ExpectedSequence = s.sequence
	_, present := s.adapters[JoinAdapterName(c.Model, c.Adapter)]
	s.mu.Unlock()
	reply, sentBefore, err := s.sendCopies(ctx, c, present)
	switch {
	case IsKind(err, NotSent) && !sentBefore:
		return "", err // nothing can still take effect, and the known state stays current
	case err != nil && c.Load && present:
		// At this sequence number the adapter is loaded or being loaded already, so a
		// delayed command has no effect. If it does load a new version, the next
		// command gets a conflict.
		return "", &Error{Op: "ask", Kind: Failed, Err: err}
	case err != nil:
		s.invalidate()
		return "", err
	case reply == StaleToken:
		return reply, &Error{Op: "order", Kind: Fenced}
	case reply == WrongServer:
		return reply, &Error{Op: "order", Kind: Refused, Err: errors.New("a server with another ID replied at the engine's address")}
	case reply == Conflict:
		s.invalidate()
	}
	return reply, nil
}

// sendCopies sends a command, and again if it gets no reply. The engine executes one of the copies
// at most, since each expects the same sequence number. Waiting for a report instead would block
// all commands to the engine. A poll for the end of a load is sent once. unanswered is set if a copy
// may still be executed.
func (s *Sequencer) sendCopies(ctx context.Context, c Command, isPoll bool) (reply Reply, unanswered bool, err error) {
	copies := maxSendAttempts
	if c.Load && isPoll {
		copies = 1
	}
	for left := copies; left > 0; left-- {
		sendCtx, cancel := ctx, context.CancelFunc(func() {})
		if left > 1 {
			sendCtx, cancel = context.WithTimeout(ctx, resendAfter)
		}
		reply, err = s.send(sendCtx, c)
		cancel()
		if !isUnanswered(err) {
			return reply, unanswered, err
		}
		if !unanswered {
			s.recordUnanswered(c)
		}
		unanswered = true
		if endErr := cmp.Or(s.checkEnding(), ctx.Err()); endErr != nil {
			return reply, unanswered, err
		}
	}
	return reply, unanswered, err
}

// send sends a command while CanSend permits it, and ends it with TimeLeft.
func (s *Sequencer) send(ctx context.Context, c Command) (Reply, error) {
	if s.CanSend != nil {
		if !s.CanSend() {
			return "", &Error{Op: "order", Kind: NotSent, Err: errors.New("the lease does not permit commands now")}
		}
		ctx = WithSendCheck(ctx, s.CanSend)
	}
	if s.TimeLeft != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.TimeLeft())
		defer cancel()
	}
	reply, err := s.Send(ctx, c)
	if isUnanswered(err) && s.OnUnanswered != nil {
		s.OnUnanswered()
	}
	return reply, err
}

// isUnanswered reports whether a command that ended with an error may still be executed.
func isUnanswered(err error) bool { return err != nil && !IsKind(err, NotSent, Refused) }

// advanceSequence increments the sequence number for an accepted command and
// calls f with the lock held.
func (s *Sequencer) advanceSequence(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	f()
}

// Unload unloads an adapter that no request uses. It returns the engine's boot ID.
func (s *Sequencer) Unload(ctx context.Context, name string, token int64) (string, error) {
	s.init()
	if err := s.commandLock.Acquire(ctx, 1); err != nil {
		return "", err
	}
	defer s.commandLock.Release(1)
	err := s.unload(ctx, name, token)
	return s.bootID(), err
}

func (s *Sequencer) unload(ctx context.Context, name string, token int64) error {
	if err := s.confirmLoad(ctx, name, token); err != nil {
		return err
	}
	model, adapter := SplitAdapterName(name)
	// A reply that is wrongly taken for AlreadyDone would free a slot that is in use. Other wrong
	// replies are found by the sequence number of the next command.
	reply, err := s.sendWithRetry(ctx, Command{Model: model, Adapter: adapter, FencingToken: token, OwnConnection: true})
	if err != nil {
		return err
	}
	if reply == Accepted {
		// The engine unloads once running requests of the adapter have ended, so
		// the slot is not free yet.
		s.advanceSequence(func() {})
		s.invalidate()
		return nil
	}
	s.advanceSequence(func() {
		delete(s.adapters, name)
		delete(s.unconfirmed, name)
	})
	return nil
}
