package operator

import (
	"context"
	"crypto/sha256"
	"strings"

	"connectrpc.com/connect"
	"github.com/juju/errors"
)

// Credentials maps the tokens of operators to their names. The zero value
// knows nobody. It is immutable; With returns a larger one.
type Credentials struct {
	names map[[sha256.Size]byte]string
}

// With returns credentials that also know an operator. The credential has the
// form "name:token".
func (c Credentials) With(credential string) (Credentials, error) {
	name, token, ok := strings.Cut(credential, ":")
	if !ok || name == "" || len(token) < minTokenBytes {
		return c, &Error{Op: "credentials", Kind: "invalid", Err: errors.Errorf("want name:token with a token of at least %d bytes", minTokenBytes)}
	}
	names := make(map[[sha256.Size]byte]string, len(c.names)+1)
	for h, n := range c.names {
		names[h] = n
	}
	names[sha256.Sum256([]byte(token))] = name
	return Credentials{names: names}, nil
}

const minTokenBytes = 8

type operatorKey struct{}

// interceptor refuses calls without a credential and names the operator in
// the context.
func (c Credentials) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			token, ok := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			name := c.names[sha256.Sum256([]byte(token))]
			if !ok || name == "" {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("send an operator's token as a bearer token"))
			}
			return next(context.WithValue(ctx, operatorKey{}, name), req)
		}
	}
}

// operatorName returns the operator that the call was made by.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
