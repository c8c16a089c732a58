package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against failed tries whose log does not tell which request their connection carried before.
func TestLogNamesTheConnectionOfATry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newDaemonFixture(is)
		defer f.close()
		time.Sleep(10 * time.Second)
		is.Equal(f.send(is, "/orders/x", "r1", ""), 200)
		is.Equal(f.send(is, "/orders/x", "r2", ""), 200)
		is.Equal(f.logCount("conn-requests=1 conn-last=r1"), 1)
		is.Equal(f.logCount("server-status=200 server-not-run=false"), 2)
	})
}
