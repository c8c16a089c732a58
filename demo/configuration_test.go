package demo

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/platform"
	"github.com/vanilladrift/vanilladrift/standin"
)

// The bounds that the platform's pages state: a version is in force configDeadline after
// it was confirmed, at a node whose path to the store has been whole for healthyAfter.
const (
	configDeadline = 2 * time.Second
	healthyAfter   = 3 * time.Second
)

// putConfiguration writes a version of the configuration with one more route, which has the
// version as its prefix.
func (sys *platformSystem) putConfiguration(version int) {
	v := strconv.Itoa(version)
	route := `"routes": [{"name": "added", "host": "assist.example", "prefix": "/` + v + `/", "type": "idempotent", "timeout_ms": 3000, "service": "ledger", "max_attempts": 2},`
	config := bytes.Replace(platform.ExampleConfig, []byte(`"version": 1`), []byte(`"version": `+v), 1)
	sys.store.Put(platform.ConfigRowKey, bytes.Replace(config, []byte(`"routes": [`), []byte(route), 1))
}

// hasRoute reports whether a daemon serves the route that a version added.
func (sys *platformSystem) hasRoute(address string, version int) (bool, error) {
	v := strconv.Itoa(version)
	status, err := sys.request(address, v, "probe-"+v)
	return status == http.StatusOK, err
}

// request sends a request on a route of plain servers to a daemon, and returns its status.
func (sys *platformSystem) request(address, prefix, id string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+prefix+"/x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = "assist.example"
	req.Header.Set(platform.RequestIDHeader, id)
	resp, err := sys.client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against a configuration that is not in force in time, since the connection of the
// poll that should bring it has gone silent.
func TestConfigurationIsReadWhenConnectionsGoSilent(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run("after "+age.String(), func(t *testing.T) {
			playSystem(t, func(is *is.I, sys *platformSystem, network *standin.PipeNetwork) {
				sys.putConfiguration(2) // polls begin at the same time
				time.Sleep(age)
				network.Silence(sys.storeAddr)
				time.Sleep(100 * time.Millisecond)
				sys.putConfiguration(3)
				time.Sleep(healthyAfter - 100*time.Millisecond)
				for _, address := range sys.callerAddrs {
					ok, err := sys.hasRoute(address, 3)
					is.NoErr(err)
					is.True(ok) // the version was confirmed long ago
				}
			})
		})
	}
}

// Guards against a configuration of before a restore that some nodes had not read, and do
// not read afterwards, as the store gives out versions again.
func TestConfigurationAfterARestoreOfTheStore(t *testing.T) {
	playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
		before := sys.store.Copy()
		time.Sleep(5 * time.Second) // engines write their rows, so versions go on
		sys.store.SetFault(standin.TableFault{Down: true})
		sys.putConfiguration(2)
		time.Sleep(500 * time.Millisecond)
		sys.store.Restore(before)
		for range 50 { // versions overtake those that the nodes have read
			sys.store.Put("other/row", nil)
		}
		sys.store.SetFault(standin.TableFault{})
		is.NoErr(sys.startDaemon("joined", sys.storeAddr, io.Discard))
		time.Sleep(healthyAfter)
		for _, address := range sys.callerAddrs {
			ok, err := sys.hasRoute(address, 2)
			is.NoErr(err)
			is.True(ok)
		}
		sys.putConfiguration(3)
		time.Sleep(configDeadline)
		for _, address := range sys.callerAddrs {
			ok, err := sys.hasRoute(address, 3)
			is.NoErr(err)
			is.True(ok)
		}
	})
}
