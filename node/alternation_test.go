package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

// Guards against two VMs that alternate as the owner of an engine: the owner that has to wait after the
// other one ends, and its next process or session takes the engine over without a delay.
func TestDelayOfOwnerOutlivesIt(t *testing.T) {
	const (
		gap   = 3 * time.Second
		delay = 2 * time.Second // that the release by the other node asks for
	)
	for _, tt := range []struct {
		name  string
		after time.Duration // from the takeover until the owner ends
		end   func(n *Node)
		least time.Duration // from the takeover until the next process may send commands
		most  time.Duration
	}{
		{"killed", delay / 4, (*Node).Kill, delay, gap},
		{"released", delay / 4, func(n *Node) {
			n.HandOverEngines(n.ctx)
			n.Kill()
		}, delay, gap},
		{"killed after the delay", 2 * delay, (*Node).Kill, 2 * delay, 2 * delay},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				net, tbl := standin.NewNetwork(), &standin.Table{}
				net.Listen(platformProcess, "10.9.0.1:1", tbl)
				row := table.Owner{Engine: "e", LastNode: "other", FencingToken: 3, HandoverDelayMS: delay.Milliseconds()}
				tbl.Commit(table.Tx{Puts: []table.Put{{Key: row.Key(), Value: row.Encode()}}})
				start := func(process string) *Node {
					n := New(Config{
						Name: "n", Address: "10.0.0.1:1", Process: process, TableURL: tableURL, HTTP: net.Client("n"),
						SettingsPushed: true, OwnerAlternationGap: gap, Clock: clock.Virtual(),
					})
					n.store.InstallSnapshot(1, []settings.Document{{Kind: settings.Backend, Name: "e", Fields: map[string]string{
						"address": "10.1.0.1:1", "base-model": "m", "slots": "2", "places": "2", "unload-waits": "on",
					}}})
					n.Start()
					return n
				}
				released := time.Now()
				first := start("n.1")
				time.Sleep(tt.after)
				o := first.ownedEngine("e")
				is.True(o != nil)
				is.Equal(o.canSendCommand(), tt.after > delay)
				tt.end(first)
				second := start("n.2")
				defer second.Kill()
				for ; ; time.Sleep(10 * time.Millisecond) {
					if o := second.ownedEngine("e"); o != nil && o.canSendCommand() {
						break
					}
				}
				t.Log("commands may be sent again after", time.Since(released))
				is.True(time.Since(released) >= tt.least)
				is.True(time.Since(released) <= tt.most+100*time.Millisecond)
			})
		})
	}
}
