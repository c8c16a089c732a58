package standin

import (
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
)

// order takes an order, which must meet the sequence that it expects also when
// it is carried out late.
func (r *Replica) order(instance, holder string, c engine.Command) engine.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if instance != "" && instance != r.Self.ID {
		return engine.WrongIncarnation
	}
	r.seen.Commands = append(r.seen.Commands, ReceivedCommand{holder, c.Token, time.Now()})
	if r.fault.LoseCommands > 0 {
		r.fault.LoseCommands--
		time.AfterFunc(r.fault.CommandDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.carryOut(c)
		})
		return ""
	}
	return r.carryOut(c)
}

// carryOut begins an order. The lock is held.
func (r *Replica) carryOut(c engine.Command) engine.Reply {
	if c.ExpectedSequence != r.state.Sequence || r.state.ChangingModel {
		return engine.Conflict
	}
	defer r.announce()
	if c.Adapter == "" {
		return r.orderModel(c)
	}
	name := engine.JoinAdapterName(c.Model, c.Adapter)
	if c.Load {
		return r.loadAdapter(c, name)
	}
	if _, ok := r.state.Loaded[name]; !ok {
		return engine.AlreadyDone
	}
	r.state.Sequence++
	if r.users[name] > 0 {
		r.leaving[name] = true
		return engine.Accepted
	}
	delete(r.state.Loaded, name)
	return engine.AlreadyDone
}

func (r *Replica) orderModel(c engine.Command) engine.Reply {
	if slices.Contains(r.state.Models, c.Model) == c.Load {
		return engine.AlreadyDone
	}
	r.state.Sequence++
	r.state.ChangingModel = true
	r.later(r.ModelLoadTime, func() {
		r.state.ChangingModel = false
		r.state.Models = nil
		if c.Load {
			r.state.Models = []string{c.Model}
		}
	})
	return engine.Accepted
}

func (r *Replica) loadAdapter(c engine.Command, name string) engine.Reply {
	version := c.Version
	if version == 0 {
		version = 1
		if r.LatestVersion != nil {
			version = r.LatestVersion(name)
		}
	}
	held, ok := r.state.Loaded[name]
	switch {
	case ok && held >= version:
		return engine.AlreadyDone
	case r.state.Loading[name] >= version:
		return engine.Accepted
	case !slices.Contains(r.state.Models, c.Model):
		return engine.Conflict
	}
	if !ok && len(r.state.Loaded)+len(r.state.Loading) >= r.AdapterSlots {
		r.seen.Crashes++
		r.reset()
		return engine.Accepted
	}
	r.state.Sequence++
	r.state.Loading[name] = version
	d := r.AdapterLoadTime
	if r.lately[name] {
		d /= 10
	}
	r.lately[name] = true
	r.later(d, func() { r.arrive(name) })
	return engine.Accepted
}

// arrive puts an adapter in force that has been loaded. One that replaces a
// version waits for the requests that use it. The lock is held.
func (r *Replica) arrive(name string) {
	if r.users[name] > 0 {
		r.later(r.EventTime, func() { r.arrive(name) })
		return
	}
	if v, ok := r.state.Loading[name]; ok {
		r.state.Loaded[name] = v
		delete(r.state.Loading, name)
	}
}
