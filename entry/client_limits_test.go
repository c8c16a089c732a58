package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/memory"
	"github.com/vanilladrift/vanilladrift/platform"
)

// Messages without end to the listeners for nodes and operators take the process's memory.
func TestBodiesOfNodesAreCounted(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 10)
	var bodyErr error
	srv := httptest.NewServer(&countedHandler{budget: budget, maxBytes: 4 << 10, maxTime: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, bodyErr = io.ReadAll(r.Body)
	})})
	defer srv.Close()
	post := func(body io.Reader) int {
		resp, err := http.Post(srv.URL, "", body)
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(post(strings.NewReader(strings.Repeat("x", 1<<10))), http.StatusOK)
	is.NoErr(bodyErr)
	is.Equal(post(strings.NewReader(strings.Repeat("x", 2<<10))), http.StatusOK)
	is.True(memory.IsKind(bodyErr, memory.OverBudget))
	is.Equal(post(strings.NewReader(strings.Repeat("x", 5<<10))), http.StatusRequestEntityTooLarge)
	post(io.MultiReader(strings.NewReader(strings.Repeat("x", 5<<10)))) // of no announced length
	is.True(bodyErr != nil)
	srv.Close() // waits for the handlers
	is.Equal(budget.Used(), int64(0))
}

// The connections of all listeners and those to other VMs must fit into the descriptors, on VMs of the
// sizes that docs/HARD-LOAD.md names, and those of nodes be enough for 360 of them.
func TestConnectionsFitTheDescriptors(t *testing.T) {
	for _, vm := range []struct{ files, memoryMB int }{{4100, 184}, {8192, 536}, {10022, 256}} {
		is := is.New(t)
		c := &clientLimits{
			daemon: &Daemon{settings: platform.Settings{MaxFiles: vm.files}},
			memory: memory.NewBudget(int64(vm.memoryMB) << 20 / 4),
		}
		in := c.maxCallerConns() + c.maxConns(peerFiles) + 2*c.maxConns(operatorFiles)
		is.True(in+c.maxCallerConns() <= vm.files-fileDescriptors) // each request has a connection to a backend server
		is.True(c.maxConns(peerFiles) >= 360)
		is.True(c.maxCallerConns() >= 1000)
	}
	is.New(t).Equal((&clientLimits{daemon: &Daemon{}}).maxCallerConns(), 0)
}
