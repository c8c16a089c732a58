package entry

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/platform"
)

// The lease timings must pass the node's configuration check for any owner alternation
// gap of the platform.
func TestLeaseTimings(t *testing.T) {
	for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(gap.String(), func(t *testing.T) {
			is := is.New(t)
			ttl, margin, renew := leaseTimings(gap)
			is.True(ttl < gap)
			is.NoErr(node.Config{
				Name: "n", Address: "10.0.0.1:1", TableURL: "http://10.0.0.2:1", LeaseTTL: ttl, LeaseMargin: margin, RenewEvery: renew,
			}.Check())
		})
	}
}

func TestNewChecksSettings(t *testing.T) {
	is := is.New(t)
	_, err := New(platform.Settings{Node: "n", PeerAddress: "nowhere", OwnerAlternationGap: 3 * time.Second, MemoryBytes: 1 << 30}, Network{}, log.New(io.Discard))
	is.True(err != nil)
}

// Reload must apply the settings that can change at run time, and report when
// another setting differs.
func TestReload(t *testing.T) {
	is := is.New(t)
	current := platform.Settings{
		Node: "n", PeerAddress: "10.0.0.1:1", StoreAddress: "10.0.0.2:1", OwnerAlternationGap: 3 * time.Second, GracePeriod: 8 * time.Second, DrainPeriod: 2 * time.Second, MemoryBytes: 1 << 30,
		RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second,
	}
	d, err := New(current, Network{}, log.New(io.Discard))
	is.NoErr(err)
	is.True(!d.Reload(current))
	next := current
	next.RetryRatio, next.RetrySlack, next.GracePeriod = 0, 0, 4*time.Second
	is.True(d.retryBudget("p").TrySpend(time.Unix(0, 0)))
	is.True(!d.Reload(next))
	is.True(!d.retryBudget("p").TrySpend(time.Unix(0, 0)))
	is.Equal(d.settings.GracePeriod, 4*time.Second)
	next.StoreAddress = "10.0.0.3:1"
	is.True(d.Reload(next))
	is.Equal(d.settings.StoreAddress, current.StoreAddress)
}

// Guards against a poll whose lost response is awaited for longer than a node may be behind.
func TestOperatorPollEndsWithinCatchUpPeriod(t *testing.T) {
	is := is.New(t)
	for _, catchUp := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		wait, lastCall := operatorPollWait(catchUp), dialTimeout+callSteps*caller.MaxLateness
		is.True(wait+pollGrace+lastCall <= catchUp)
		is.True(storeTimeout+storeRetryDelay(catchUp)*3/2+lastCall <= catchUp)
		is.True(wait > 0)
	}
	is.Equal(operatorPollWait(0), operatorPollWait(3*time.Second))
	is.Equal(operatorPollWait(time.Second), minOperatorPollWait)
}
