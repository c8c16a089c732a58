package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against settings under which a command may arrive after the next owner sends its first one.
func TestConfigBoundsArrivalOfCommands(t *testing.T) {
	cfg := Config{
		Name: "n", Address: "10.0.0.1:1", TableURL: tableURL,
		LeaseTTL: 2500 * time.Millisecond, LeaseMargin: 300 * time.Millisecond, RenewEvery: time.Second,
	}
	for _, tt := range []struct {
		bound time.Duration
		ok    bool
	}{
		{0, true}, {600 * time.Millisecond, true}, {601 * time.Millisecond, false},
	} {
		t.Run(tt.bound.String(), func(t *testing.T) {
			is := is.New(t)
			cfg.CommandArrivalBound = tt.bound
			is.Equal(cfg.Check() == nil, tt.ok)
		})
	}
	is.New(t).Equal(Config{LeaseMargin: 300 * time.Millisecond}.withDefaults().CommandArrivalBound, 600*time.Millisecond)
}
