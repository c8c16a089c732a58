package node

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/standin"
)

// askForConsent asks a node for consent to extend the lease of another.
func (c *leaseCluster) askForConsent(t *testing.T, of, witness *Node) *peerpb.HeartbeatResponse {
	req := of.newHeartbeat()
	req.Hold, req.SessionVersion = true, 1<<30
	resp, err := (&peerServer{witness}).Heartbeat(t.Context(), connect.NewRequest(req))
	is.New(t).NoErr(err)
	return resp.Msg
}

// Guards against consents of a witness whose session row is removed: others count it as having promised not to agree.
func TestWitnessThatLeftDoesNotConsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(4, 8)
		defer c.close()
		time.Sleep(10 * time.Second)
		before := c.askForConsent(t, c.nodes[0], c.nodes[1])
		is.True(before.GetAgreed() && before.GetHolding())
		is.NoErr(c.nodes[1].Close(t.Context()))
		for range 30 {
			resp := c.askForConsent(t, c.nodes[0], c.nodes[1])
			is.True(!resp.GetHolding())
			is.True(!resp.GetAgreed())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a lease by a renewal that is confirmed while the session ends.
func TestRenewalUnderWayGivesNoLeaseAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaseCluster(4, 8)
		defer c.close()
		time.Sleep(10 * time.Second)
		c.setFault(standin.TableFault{Delay: 300 * time.Millisecond})
		n := c.nodes[1]
		go n.session.renew(t.Context())
		time.Sleep(100 * time.Millisecond)
		n.session.removeRow(t.Context())
		for range 30 {
			is.True(!n.session.leaseValid())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a consent in the generation of the table that ends, in the moment in which promises are forgotten.
func TestConsentWhilePromisesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newStoreCluster(4, 8)
		defer c.close()
		time.Sleep(10 * time.Second)
		of, witness := c.nodes[0], c.nodes[1]
		generation := witness.generations.Current()
		is.True(c.askForConsent(t, of, witness).GetAgreed())
		witness.promises.StartGeneration(generation + 1) // the first step of ObserveGeneration
		is.True(!c.askForConsent(t, of, witness).GetAgreed())
		promise, err := (&peerServer{witness}).Promise(t.Context(), connect.NewRequest(&peerpb.PromiseRequest{Process: "p", SessionVersion: 1, Generation: generation}))
		is.NoErr(err)
		is.True(!promise.Msg.GetPromised())
	})
}
