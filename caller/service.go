package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vanilladrift/vanilladrift/service"
	"github.com/vanilladrift/vanilladrift/settings"
)

const (
	servicePrefix          = "/v1/services/"
	maxIdempotencyKeyBytes = 256
	storeRetryAfter        = 2 * time.Second
	serviceRetryAfter      = time.Second
	maxServiceTimeout      = 30 * time.Second
)

// serveService forwards a call to a plain service. A call that the settings do
// not mark as repeatable is sent at most once.
func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, id string, tree *settings.Tree, caller settings.Document, branch *settings.Effective) error {
	const op = "service"
	name, suffix, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	doc, ok := tree.Doc(settings.Service, name)
	if !ok {
		return notRunError(op, NoSuchService, "no service "+name)
	}
	path := "/" + suffix
	repeatable := slices.Contains(strings.Split(doc.Fields["repeatable"], ","), path)
	body, err := h.readBody(w, r, branch.MaxBodyBytes)
	if err != nil {
		return err
	}
	c := service.Call{
		Service: name, Caller: caller.Name, Key: r.Header.Get(HeaderIdempotencyKey), Attempt: id,
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	if len(c.Key) > maxIdempotencyKeyBytes {
		return notRunError(op, BadRequest, "the idempotency key is too long")
	}
	resp, err := h.callService(r.Context(), c, strings.Split(doc.Fields["addresses"], ","), repeatable, branch)
	if err != nil {
		return serviceError(err)
	}
	header := w.Header()
	if resp.ContentType != "" {
		header.Set("Content-Type", resp.ContentType)
	}
	header.Set(HeaderOutcome, string(Ran))
	if resp.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // an error means that the caller has disconnected
	return nil
}

// callService executes the call. It continues after the caller disconnects,
// since the call may have been sent and its outcome must be recorded.
func (h *Handler) callService(ctx context.Context, c service.Call, addresses []string, repeatable bool, branch *settings.Effective) (service.Response, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(branch.Deadline, maxServiceTimeout))
	defer cancel()
	start := int(c.Attempt[len(c.Attempt)-1]) % len(addresses)
	addresses = append(slices.Clone(addresses[start:]), addresses[:start]...)
	send := func(ctx context.Context, c service.Call) (service.Response, error) {
		return h.Services.Send(ctx, addresses, repeatable, c)
	}
	if repeatable || c.Key == "" {
		return send(ctx, c)
	}
	return h.Ledger.Do(ctx, c, send)
}

func serviceError(err error) error {
	const op = "service"
	switch {
	case service.IsKind(err, service.Conflict):
		return &Error{Op: op, Kind: IdempotencyConflict, Outcome: NotRun, Reason: "the idempotency key was used with another call", Err: err}
	case service.IsKind(err, service.NotRun):
		return &Error{Op: op, Kind: StoreUnavailable, Outcome: NotRun, Reason: "the call was not sent", RetryAfter: storeRetryAfter, Err: err}
	}
	return &Error{Op: op, Kind: UnknownOutcome, Outcome: Unknown, Reason: "the call may have run", RetryAfter: serviceRetryAfter, Err: err}
}
