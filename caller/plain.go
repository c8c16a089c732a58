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
	servicePrefix  = "/v1/services/"
	maxKeyBytes    = 256
	storeRetry     = 2 * time.Second
	serviceRetry   = time.Second
	maxServiceTime = 30 * time.Second
)

// servePlain passes a call on to a plain service. A call that is not marked
// repeatable in the settings is sent at most once.
func (f *Handler) servePlain(w http.ResponseWriter, r *http.Request, id string, tree *settings.Tree, caller settings.Document, branch *settings.Effective) error {
	const op = "service"
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	doc, ok := tree.Doc(settings.Service, name)
	if !ok {
		return refusal(op, NoSuchService, "no service "+name)
	}
	path := "/" + rest
	repeatable := slices.Contains(strings.Split(doc.Fields["repeatable"], ","), path)
	body, err := readBody(r, branch.MaxBodyBytes)
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
	if len(c.Key) > maxKeyBytes {
		return refusal(op, BadRequest, "the idempotency key is too long")
	}
	ans, err := f.callService(r.Context(), c, strings.Split(doc.Fields["addresses"], ","), repeatable, branch)
	if err != nil {
		return plainError(err)
	}
	h := w.Header()
	if ans.ContentType != "" {
		h.Set("Content-Type", ans.ContentType)
	}
	h.Set(HeaderOutcome, string(Ran))
	if ans.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(ans.Status)
	_, _ = w.Write(ans.Body) // the caller has gone away
	return nil
}

// callService runs the call. Once it may have been sent it goes on without
// its caller, so that its outcome is recorded.
func (f *Handler) callService(ctx context.Context, c service.Call, addresses []string, repeatable bool, branch *settings.Effective) (service.Response, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(branch.Deadline, maxServiceTime))
	defer cancel()
	start := int(c.Attempt[len(c.Attempt)-1]) % len(addresses)
	addresses = append(slices.Clone(addresses[start:]), addresses[:start]...)
	send := func(ctx context.Context, c service.Call) (service.Response, error) {
		return f.Services.Send(ctx, addresses, repeatable, c)
	}
	if repeatable || c.Key == "" {
		return send(ctx, c)
	}
	return f.Ledger.Do(ctx, c, send)
}

func plainError(err error) error {
	const op = "service"
	switch {
	case service.IsKind(err, service.Conflict):
		return &Error{Op: op, Kind: IdempotencyConflict, Outcome: NotRun, Reason: "the idempotency key was used with another call", Err: err}
	case service.IsKind(err, service.NotRun):
		return &Error{Op: op, Kind: StoreUnavailable, Outcome: NotRun, Reason: "the call was not sent", RetryAfter: storeRetry, Err: err}
	}
	return &Error{Op: op, Kind: UnknownOutcome, Outcome: Unknown, Reason: "the call may have run", RetryAfter: serviceRetry, Err: err}
}
