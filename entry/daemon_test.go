package entry

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/platform"
)

// The times of a lease hold together whatever the platform's time between two
// holders is.
func TestLeaseTimes(t *testing.T) {
	for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(gap.String(), func(t *testing.T) {
			is := is.New(t)
			ttl, margin, renew := leaseTimes(gap)
			is.True(ttl < gap)
			is.NoErr(node.Config{
				Name: "n", Address: "10.0.0.1:1", TableURL: "http://10.0.0.2:1", LeaseTTL: ttl, LeaseMargin: margin, RenewEvery: renew,
			}.Check())
		})
	}
}

func TestNewChecksSettings(t *testing.T) {
	is := is.New(t)
	_, err := New(platform.Settings{Node: "n", PeerAddress: "nowhere", Lease: 3 * time.Second, MemoryBytes: 1 << 30}, Network{}, log.New(io.Discard))
	is.True(err != nil)
}
