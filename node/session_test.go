package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// A renewal whose answer is slow makes the lease shorter, never longer.
func TestLeaseCountsFromBeforeTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, tbl := standin.NewNetwork(), &standin.Table{}
		net.Listen(platform, "10.9.0.1:1", tbl)
		n := New(Config{Name: "n", Address: "10.0.0.1:1", TableURL: tableURL, HTTP: net.Client("n")})
		n.tokensKnown.Store(true) // a second call would be slow too
		tbl.SetFault(standin.TableFault{Slow: 1500 * time.Millisecond})
		n.session.renew(context.Background())
		is.Equal(n.session.left(time.Now()), 6*time.Second-time.Second-1500*time.Millisecond)
	})
}
