package demo

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/standin"
)

// Guards against engines that get commands under a lower fencing token, or one of two owners,
// after the store came back from a copy: the whole path, with a daemon that stopped since.
func TestEnginesAfterARestoreOfTheStore(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after func(traffic *platformTraffic) error // what happens between the copy and the restore
	}{
		{"nothing", func(*platformTraffic) error { return nil }},
		{"a daemon stops", func(traffic *platformTraffic) error {
			traffic.stopDaemon(200)
			return nil
		}},
		{"daemons join", func(traffic *platformTraffic) error {
			for i := range 3 {
				if err := traffic.sys.startDaemon(fmt.Sprintf("joined-%d", i), traffic.sys.storeAddr, io.Discard); err != nil {
					return err
				}
			}
			time.Sleep(8 * time.Second)
			return nil
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			playSystem(t, func(is *is.I, sys *platformSystem, _ *standin.PipeNetwork) {
				traffic := newPlatformTraffic(sys, 2)
				traffic.run(300)
				before := sys.store.Copy()
				is.NoErr(tt.after(traffic))
				traffic.run(300)
				sys.store.SetFault(standin.TableFault{Down: true})
				time.Sleep(300 * time.Millisecond)
				sys.store.Restore(before)
				sys.store.SetFault(standin.TableFault{})
				traffic.run(1500)
				traffic.collect()
				is.Equal(traffic.result.violations(), nil)
			})
		})
	}
}
