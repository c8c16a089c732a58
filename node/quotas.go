package node

import (
	"context"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/peer/peerpb"
)

// TakeQuota implements the Peer service. This node is the keeper of no account.
func (s *peerServer) TakeQuota(context.Context, *connect.Request[peerpb.TakeQuotaRequest]) (*connect.Response[peerpb.TakeQuotaResponse], error) {
	return connect.NewResponse(&peerpb.TakeQuotaResponse{NotKeeper: true}), nil
}

// YieldQuota implements the Peer service.
func (s *peerServer) YieldQuota(context.Context, *connect.Request[peerpb.YieldQuotaRequest]) (*connect.Response[peerpb.YieldQuotaResponse], error) {
	return connect.NewResponse(&peerpb.YieldQuotaResponse{Yielded: true}), nil
}
