package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
)

// lateCopyPlay sends requests that may run once to a server that refuses every third try, and
// sends responses a second time.
type lateCopyPlay struct {
	f        *daemonFixture
	copies   atomic.Int64
	statuses map[int]int
	// ranTwice and ranRefused count requests that ran more than once, and that ran although the
	// caller was told that they had not.
	ranTwice, ranRefused int
}

// playLateCopies plays requests for a path; the named responses are those that are sent again.
func playLateCopies(t *testing.T, path, adapter string, isCopied func(response []byte) bool, check func(is *is.I, p *lateCopyPlay)) {
	const requests, callers = 400, 4
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &lateCopyPlay{f: newDaemonFixture(is), statuses: make(map[int]int)}
		f := p.f
		defer f.close()
		config := strings.Replace(string(platform.ExampleConfig), `"resumable": true`, `"resumable": false`, 1)
		f.store.Put(platform.ConfigRowKey, []byte(strings.Replace(config, `"version": 1,`, `"version": 2,`, 1)))
		time.Sleep(10 * time.Second)
		is.Equal(f.send(is, path, "first", adapter), http.StatusOK) // loads the adapter
		var tries atomic.Int64
		isFull := func() bool { return tries.Add(1)%3 == 0 }
		for _, r := range f.replicas() {
			r.SetFault(standin.ReplicaFault{IsFull: isFull})
		}
		draw := func(response []byte) bool {
			copied := isCopied(response)
			if copied {
				p.copies.Add(1)
			}
			return copied
		}
		f.late.Store(&draw)
		var mu sync.Mutex
		refused := make(map[string]bool)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for n := range requests / callers {
					id := fmt.Sprintf("r%d.%d", i, n)
					status := f.send(is, path, id, adapter)
					mu.Lock()
					p.statuses[status]++
					refused[id] = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		for _, r := range f.replicas() {
			for id, n := range r.Record().Executions {
				if n > 1 {
					p.ranTwice++
				}
				if refused[id] {
					p.ranRefused++
				}
			}
		}
		t.Logf("%d copies; %d ran twice, %d ran after a refusal; %v", p.copies.Load(), p.ranTwice, p.ranRefused, p.statuses)
		check(is, p)
	})
}

func isRefusal(response []byte) bool { return bytes.Contains(response, []byte("Not-Executed")) }

func isAnswer(response []byte) bool { return bytes.Contains(response, []byte("Request-Id")) }

// Guards against a second copy of a refusal that is taken for the answer to a later try.
func TestLateRefusalIsNotTheAnswerToALaterTry(t *testing.T) {
	playLateCopies(t, "/chat/x", "a1", isRefusal, func(is *is.I, p *lateCopyPlay) {
		is.True(p.copies.Load() > 0)
		is.Equal(p.ranTwice, 0)
		is.Equal(p.ranRefused, 0)
	})
}

// Guards against answers that are lost because a copy of another came before them.
func TestAnswerAfterALateCopyIsRead(t *testing.T) {
	for _, tt := range []struct{ path, adapter string }{{"/chat/x", "a1"}, {"/orders/x", ""}} {
		t.Run(tt.path, func(t *testing.T) {
			playLateCopies(t, tt.path, tt.adapter, isAnswer, func(is *is.I, p *lateCopyPlay) {
				is.True(p.copies.Load() > 0)
				is.Equal(p.ranTwice, 0)
				is.Equal(p.ranRefused, 0)
				is.Equal(p.statuses[http.StatusBadGateway], 0)
				is.Equal(p.statuses[0], 0)
			})
		})
	}
}

// Guards against replies to commands, which name no request, that are taken for the answers to
// requests: a copy of one could not be told from a damaged answer.
func TestControlCallsHaveTheirOwnConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDaemonFixture(is)
		defer f.close()
		time.Sleep(10 * time.Second)
		isReply := func(response []byte) bool { return !isAnswer(response) }
		f.late.Store(&isReply)
		for n := range 100 {
			status := f.send(is, "/chat/x", fmt.Sprintf("r%d", n), fmt.Sprintf("a%d", n%5))
			is.True(status == http.StatusOK || status == http.StatusServiceUnavailable) // its adapter may not be loaded yet
		}
	})
}
