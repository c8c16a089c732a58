package transport

import (
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestNeverSent(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want bool
	}{
		{"a failed dial", &net.OpError{Op: "dial", Err: errors.New("refused")}, true},
		{"a failed dial inside another error", errors.Annotate(&net.OpError{Op: "dial", Err: errors.New("refused")}, "post"), true},
		{"a failed read", &net.OpError{Op: "read", Err: errors.New("reset")}, false},
		{"another error", errors.New("EOF"), false},
		{"none", nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(IsDialError(tt.err), tt.want)
		})
	}
}
