package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

// slowEngine accepts every command and takes minutes to load a model or an adapter.
type slowEngine struct {
	mu       sync.Mutex
	hasModel bool
	changing bool
	sequence int64
	commands []engine.Command
}

func (e *slowEngine) send(_ context.Context, c engine.Command) (engine.Reply, error) {
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, c)
	e.changing = c.Adapter == ""
	e.sequence++
	return engine.Accepted, nil
}

func (e *slowEngine) fetch(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := engine.State{Boot: "1", Sequence: e.sequence, ChangingModel: e.changing}
	if e.hasModel {
		st.Models = []string{"m"}
	}
	return st, nil
}

// highestToken returns the highest fencing token of a command, and the number of commands.
func (e *slowEngine) highestToken() (token int64, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.commands {
		token = max(token, c.FencingToken)
	}
	return token, len(e.commands)
}

// sentAfter returns the commands after the first ones.
func (e *slowEngine) sentAfter(count int) []engine.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands[count:])
}

// newSlowCluster returns a cluster with one engine, which takes long for each load.
func newSlowCluster(e *slowEngine) *leaseCluster {
	return startLeaseCluster(&leaseCluster{table: &standin.Table{}, sequencer: func(settings.BackendServer) *engine.Sequencer {
		return &engine.Sequencer{Send: e.send, FetchState: e.fetch}
	}}, 3, 1)
}

// maxHandoverTime is how long a handover may take: one command, its answer's evaluation and a release.
const maxHandoverTime = 200 * time.Millisecond

// Guards against a handover that waits for the load of a base model, at whose end the node would send again.
func TestHandoverEndsLoadOfBaseModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &slowEngine{}
		c := newSlowCluster(e)
		defer c.close()
		time.Sleep(6 * time.Second)
		leaving, o := c.ownerOf("e0")
		token, count := e.highestToken()
		is.True(o.hasCommandsInFlight() && token == o.token)
		begun := time.Now()
		leaving.HandOverEngines(t.Context())
		is.Equal(leaving.ownedEngine("e0"), nil)
		is.True(time.Since(begun) <= maxHandoverTime)
		is.Equal(c.watch(time.Second), "")
		for _, sent := range e.sentAfter(count) {
			is.True(sent.FencingToken > token)
		}
	})
}

// Guards against a load that goes on during a handover. Its requests are refused at once, and it counts as not sent.
func TestHandoverEndsLoadOfAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &slowEngine{hasModel: true}
		c := newSlowCluster(e)
		defer c.close()
		time.Sleep(6 * time.Second)
		leaving, o := c.ownerOf("e0")
		refused := make(chan engine.Action, 1)
		go func() {
			refused <- o.submit(t.Context(), engine.Work{ID: "r", Adapter: "m/a", EntryNode: "p", Deadline: time.Now().Add(time.Minute)}, "10.0.0.1:1")
		}()
		time.Sleep(time.Second)
		_, count := e.highestToken()
		is.True(o.hasCommandsInFlight() && count > 1) // the load is polled
		begun := time.Now()
		go leaving.HandOverEngines(t.Context())
		act := <-refused
		is.Equal(time.Since(begun), time.Duration(0))
		is.Equal(act.Kind, engine.Refuse)
		is.Equal(act.Reason, engine.NoOwner)
		time.Sleep(maxHandoverTime)
		is.Equal(leaving.ownedEngine("e0"), nil)
		o.mu.Lock()
		defer o.mu.Unlock()
		is.Equal(o.commandsUnanswered, 0)
	})
}

// Guards against a node that sends commands of a load after its background work was told to end, and waits for that.
func TestKillEndsLoadOfBaseModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &slowEngine{}
		c := newSlowCluster(e)
		defer c.close()
		time.Sleep(6 * time.Second)
		killed, o := c.ownerOf("e0")
		is.True(o.hasCommandsInFlight())
		begun := time.Now()
		killed.Kill()
		is.True(time.Since(begun) <= maxHandoverTime)
	})
}
