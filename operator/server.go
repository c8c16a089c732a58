package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/operator/operatorpb"
	"github.com/vanilladrift/vanilladrift/operator/operatorpb/operatorpbconnect"
	"github.com/vanilladrift/vanilladrift/settings"
)

const (
	maxHistory     = 1000
	defaultHistory = 50
	maxEditBytes   = 1 << 20
)

// Server answers operators. Set the fields before the first use.
type Server struct {
	Store *settings.Store
	// View returns the node's view of the system.
	View func() *operatorpb.StatusResponse
	Log  *log.Logger
}

// NewHandler returns the path and the handler of the operator protocol.
func NewHandler(s *Server, c Credentials) (string, http.Handler) {
	return operatorpbconnect.NewOperatorHandler(s, connect.WithInterceptors(c.interceptor()), connect.WithReadMaxBytes(maxEditBytes))
}

var _ operatorpbconnect.OperatorHandler = (*Server)(nil)

// Edit implements the Operator service.
func (s *Server) Edit(ctx context.Context, req *connect.Request[operatorpb.EditRequest]) (*connect.Response[operatorpb.EditResponse], error) {
	m := req.Msg
	c, err := s.Store.Apply(ctx, settings.Edit{
		ID: m.GetId(), Kind: settings.Kind(m.GetKind()), Name: m.GetName(), Set: m.GetSet(), Unset: m.GetUnset(),
		Delete: m.GetDelete(), BaseRev: m.GetBase(), Who: operatorName(ctx), Why: m.GetWhy(),
	}, time.Now())
	if err != nil {
		return nil, wireError(err)
	}
	s.Log.Info("settings changed", "rev", c.Rev, "who", c.Who, "doc", c.Doc.ID(), "why", c.Why)
	return connect.NewResponse(&operatorpb.EditResponse{Change: record(c)}), nil
}

func record(c settings.Change) *operatorpb.Record {
	return &operatorpb.Record{
		Rev: c.Rev, Id: c.ID, Who: c.Who, Why: c.Why, WhenUnixMs: c.When.UnixMilli(),
		Kind: string(c.Doc.Kind), Name: c.Doc.Name, Old: c.Old, New: c.Doc.Fields, Deleted: c.Doc.Deleted,
	}
}

func doc(d settings.Document) *operatorpb.Doc {
	return &operatorpb.Doc{Kind: string(d.Kind), Name: d.Name, Rev: d.Rev, Fields: d.Fields}
}

// Get implements the Operator service.
func (s *Server) Get(_ context.Context, req *connect.Request[operatorpb.GetRequest]) (*connect.Response[operatorpb.GetResponse], error) {
	tree := s.Store.Tree()
	d, ok := tree.Doc(settings.Kind(req.Msg.GetKind()), req.Msg.GetName())
	if !ok {
		return nil, wireError(&settings.Error{Op: "get", Kind: settings.NotFound, Doc: req.Msg.GetKind() + " " + req.Msg.GetName()})
	}
	resp := &operatorpb.GetResponse{Doc: doc(d), Revision: tree.Rev()}
	if e, ok := tree.Branch(d.Name); ok && d.Kind == settings.Branch {
		resp.Effective = effective(e)
	}
	return connect.NewResponse(resp), nil
}

func effective(e *settings.Effective) map[string]string {
	hedge := "off"
	if e.Hedge {
		hedge = "on"
	}
	return map[string]string{
		"adapter": e.Adapter, "adapter-version": e.AdapterVersion, "class": e.Class,
		"deadline": e.Deadline.String(), "max-tokens": strconv.Itoa(e.MaxTokens),
		"max-body-bytes": strconv.Itoa(e.MaxBodyBytes), "hedge": hedge,
		"concurrency": strconv.Itoa(e.Concurrency), "rate": strconv.FormatFloat(e.Rate, 'g', -1, 64),
		"load-rate": strconv.FormatFloat(e.LoadRate, 'g', -1, 64), "load-parallel": strconv.Itoa(e.LoadParallel),
	}
}

// List implements the Operator service.
func (s *Server) List(_ context.Context, req *connect.Request[operatorpb.ListRequest]) (*connect.Response[operatorpb.ListResponse], error) {
	tree := s.Store.Tree()
	resp := &operatorpb.ListResponse{Revision: tree.Rev()}
	for _, d := range tree.Docs(settings.Kind(req.Msg.GetKind())) {
		resp.Docs = append(resp.Docs, doc(d))
	}
	return connect.NewResponse(resp), nil
}

// History implements the Operator service.
func (s *Server) History(ctx context.Context, req *connect.Request[operatorpb.HistoryRequest]) (*connect.Response[operatorpb.HistoryResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit < 1 {
		limit = defaultHistory
	}
	changes, err := s.Store.History(ctx, settings.Kind(req.Msg.GetKind()), req.Msg.GetName(), min(limit, maxHistory))
	if err != nil {
		return nil, wireError(err)
	}
	resp := &operatorpb.HistoryResponse{}
	for _, c := range changes {
		resp.Records = append(resp.Records, record(c))
	}
	return connect.NewResponse(resp), nil
}

// Status implements the Operator service.
func (s *Server) Status(context.Context, *connect.Request[operatorpb.StatusRequest]) (*connect.Response[operatorpb.StatusResponse], error) {
	return connect.NewResponse(s.View()), nil
}
