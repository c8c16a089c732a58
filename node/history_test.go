package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
)

// history collects operations for porcupine. An operation with an unknown outcome may
// take effect at any later time.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) record(client int, in, out any, start time.Time, unknown bool) {
	end := time.Now().UnixNano()
	if unknown {
		end = start.Add(time.Hour).UnixNano()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start.UnixNano(), Return: end})
}

// editInput is a conditional edit of a document, editOutput its outcome.
type editInput struct {
	base  int64
	value string
}

type editOutput struct {
	rev      int64
	conflict bool
	unknown  bool
}

// anyRev is the revision of a document after an edit whose outcome is unknown.
const anyRev = -1

// editModel is a register with a revision: an edit takes effect exactly if its base is
// the current revision.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		rev, in, out := state.(int64), input.(editInput), output.(editOutput)
		matches := rev == in.base || rev == anyRev
		switch {
		case out.unknown && matches:
			return []any{rev, int64(anyRev)}
		case out.unknown:
			return []any{rev}
		case out.conflict && (rev != in.base):
			return []any{rev}
		case !out.conflict && matches && out.rev > rev:
			return []any{out.rev}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Guards against lost updates. Operators send concurrent conditional edits through all
// nodes while the table loses responses: of two edits with the same base, one must
// succeed and the other must get a conflict.
func TestEditsAreLinearizable(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		c.table.SetFault(standin.TableFault{Delay: 20 * time.Millisecond, LoseResponse: loseEveryNth(3)})
		var h history
		var accepted, conflicts int
		for client := range 6 {
			c.spawn(func() {
				for i := range 12 {
					tree := c.nodes[client%3].node.Store().Tree()
					doc, _ := tree.Doc(settings.Branch, "/race")
					in := editInput{base: doc.Rev, value: fmt.Sprint(client*100 + i + 1)}
					start := time.Now()
					change, err := c.edit(client%3, settings.Edit{
						Kind: settings.Branch, Name: "/race", BaseRev: in.base, Set: map[string]string{"max-tokens": in.value},
					})
					out := editOutput{rev: change.Rev}
					var se *settings.Error
					if errors.As(err, &se) {
						out = editOutput{conflict: se.Kind == settings.Conflict, unknown: se.Kind == settings.Unknown}
					}
					h.record(client, in, out, start, out.unknown)
					h.mu.Lock()
					if err == nil {
						accepted++
					}
					if out.conflict {
						conflicts++
					}
					h.mu.Unlock()
					time.Sleep(time.Duration(client*7+i*13) * time.Millisecond)
				}
			})
		}
		c.wg.Wait()
		is := is.New(t)
		is.True(accepted > 5 && conflicts > 5)
		model := editModel.ToModel()
		is.True(porcupine.CheckOperations(model, h.ops))
	})
}

// callModel is one call with an idempotency key: it runs in one attempt, and the other
// attempts get the recorded response.
var callModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, out := state.(bool), output.(callOutput)
		switch {
		case out.outcome == caller.Unknown:
			return []any{ran, true}
		case out.outcome == caller.NotRun:
			return []any{ran}
		case out.replayed && ran, !out.replayed && !ran:
			return []any{true}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

type callOutput struct {
	outcome  caller.Outcome
	replayed bool
}

func TestKeyedCallsAreLinearizable(t *testing.T) {
	runInCluster(t, 3, 2, func(t *testing.T, c *cluster) {
		c.table.SetFault(standin.TableFault{Delay: 30 * time.Millisecond, LoseResponse: loseEveryNth(4)})
		c.services[0].SetFault(standin.ServiceFault{Delay: 100 * time.Millisecond, LoseResponses: 4})
		histories := make([]history, 12)
		for key := range histories {
			for client := range 5 {
				c.spawn(func() {
					time.Sleep(time.Duration(client*key) * 50 * time.Millisecond)
					start, body := time.Now(), fmt.Sprint("call ", key)
					resp, err := c.post(client%3, "/v1/services/s0/place", "counter", body, body)
					out := callOutput{outcome: caller.Unknown}
					if err == nil {
						out = callOutput{caller.Outcome(resp.Header.Get(caller.HeaderOutcome)), resp.Header.Get(caller.HeaderReplayed) != ""}
					}
					histories[key].record(client, nil, out, start, out.outcome == caller.Unknown)
				})
			}
		}
		c.wg.Wait()
		for key := range histories {
			if model := callModel.ToModel(); !porcupine.CheckOperations(model, histories[key].ops) {
				t.Errorf("call %d is not linearizable: %+v", key, histories[key].ops)
			}
		}
	})
}
