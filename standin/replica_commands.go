package standin

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/platform"
)

// handleCommand records a command and carries it out.
func (r *Replica) handleCommand(serverID, owner string, c engine.Command) engine.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Arrival{Sender: owner, FencingToken: c.FencingToken, At: time.Now(), Incarnation: r.startMS}
	a.Reply = r.carryOut(serverID, c)
	r.record.Commands = append(r.record.Commands, a)
	return a.Reply
}

// holdCommand receives a command and waits for the time of the fault, also when the sender
// has closed the connection. It ignores other requests.
func (r *Replica) holdCommand(req *http.Request) error {
	r.mu.Lock()
	hold := r.fault.HoldCommand
	r.mu.Unlock()
	if hold == nil || !platform.IsCommand(req) {
		return nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(hold())
	return nil
}

// turnAwayCommand records a command that is turned away before it is looked at. It
// ignores other requests.
func (r *Replica) turnAwayCommand(req *http.Request) {
	_, owner, c, ok := platform.DecodeCommand(req)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Commands = append(r.record.Commands, Arrival{Sender: owner, FencingToken: c.FencingToken, At: time.Now(), Incarnation: r.startMS})
}

// carryOut applies a command, or applies it late and loses the reply. The expected
// sequence is checked when the command is applied. r.mu must be held.
func (r *Replica) carryOut(serverID string, c engine.Command) engine.Reply {
	if serverID != "" && serverID != r.Self.ID {
		return engine.WrongServer
	}
	if r.fault.LoseCommands > 0 {
		r.fault.LoseCommands--
		time.AfterFunc(r.fault.CommandDelay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.applyCommand(c)
		})
		return ""
	}
	return r.applyCommand(c)
}

// applyCommand starts to apply a command. r.mu must be held.
func (r *Replica) applyCommand(c engine.Command) engine.Reply {
	if c.ExpectedSequence != r.state.Sequence || r.state.ChangingModel {
		return engine.Conflict
	}
	defer r.publishState()
	if c.Adapter == "" {
		return r.changeModel(c)
	}
	name := engine.JoinAdapterName(c.Model, c.Adapter)
	if c.Load {
		return r.loadAdapter(c, name)
	}
	if _, ok := r.state.Loaded[name]; !ok {
		return engine.AlreadyDone
	}
	r.state.Sequence++
	if r.activeRequests[name] > 0 {
		r.unloading[name] = true
		return engine.Accepted
	}
	delete(r.state.Loaded, name)
	return engine.AlreadyDone
}

// changeModel loads or unloads the base model. Either change unloads the model that
// was loaded. r.mu must be held.
func (r *Replica) changeModel(c engine.Command) engine.Reply {
	if slices.Contains(r.state.Models, c.Model) == c.Load {
		return engine.AlreadyDone
	}
	r.state.Sequence++
	r.state.ChangingModel = true
	r.afterDelay(r.ModelLoadTime, func() {
		r.state.ChangingModel = false
		r.state.Models = nil
		if c.Load {
			r.state.Models = []string{c.Model}
		}
	})
	return engine.Accepted
}

// loadAdapter starts to load an adapter. A load beyond the adapter slots crashes the
// replica. r.mu must be held.
func (r *Replica) loadAdapter(c engine.Command, name string) engine.Reply {
	version := c.Version
	if version == 0 {
		version = 1
		if r.LatestVersion != nil {
			version = r.LatestVersion(name)
		}
	}
	loaded, ok := r.state.Loaded[name]
	switch {
	case ok && loaded >= version:
		return engine.AlreadyDone
	case r.state.Loading[name] >= version:
		return engine.Accepted
	case !slices.Contains(r.state.Models, c.Model):
		return engine.Conflict
	}
	if !ok && len(r.state.Loaded)+len(r.state.Loading) >= r.AdapterSlots {
		r.record.Crashes++
		r.reset()
		return engine.Accepted
	}
	r.state.Sequence++
	r.state.Loading[name] = version
	d := r.AdapterLoadTime
	if r.loadedBefore[name] {
		d /= 10
	}
	r.loadedBefore[name] = true
	r.afterDelay(d, func() { r.activateAdapter(name) })
	return engine.Accepted
}

// activateAdapter makes a loaded adapter available. If requests still use an older
// version, it waits for them. r.mu must be held.
func (r *Replica) activateAdapter(name string) {
	if r.activeRequests[name] > 0 {
		r.afterDelay(r.EventTime, func() { r.activateAdapter(name) })
		return
	}
	if v, ok := r.state.Loading[name]; ok {
		r.state.Loaded[name] = v
		delete(r.state.Loading, name)
	}
}
