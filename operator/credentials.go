package operator

import (
	"context"
	"crypto/sha256"
	"strings"

	"connectrpc.com/connect"
	"github.com/juju/errors"
)

// Credentials maps operator tokens, kept as hashes, to operator names. It is
// immutable; [Credentials.With] returns an extended copy. The zero value accepts no
// token.
type Credentials struct {
	names map[[sha256.Size]byte]string
}

// With returns a copy that also accepts the given credential, which has the form
// "name:token".
func (c Credentials) With(credential string) (Credentials, error) {
	name, token, ok := strings.Cut(credential, ":")
	if !ok || name == "" || len(token) < minTokenBytes {
		return c, &Error{Op: "credentials", Kind: "invalid", Err: errors.Errorf("the credential must have the form name:token with a token of at least %d bytes", minTokenBytes)}
	}
	names := make(map[[sha256.Size]byte]string, len(c.names)+1)
	for h, n := range c.names {
		names[h] = n
	}
	names[sha256.Sum256([]byte(token))] = name
	return Credentials{names: names}, nil
}

const minTokenBytes = 8

type operatorNameKey struct{}

// interceptor rejects calls without a known token and stores the operator's name in
// the context of the others.
func (c Credentials) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			token, ok := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			name := c.names[sha256.Sum256([]byte(token))]
			if !ok || name == "" {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("missing or unknown operator token; send one as a bearer token"))
			}
			return next(context.WithValue(ctx, operatorNameKey{}, name), req)
		}
	}
}

// operatorName returns the name of the operator who made the call.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}
