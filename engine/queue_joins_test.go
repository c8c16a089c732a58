package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests on their way to an owner are not in the wait that it last reported. A choice
// that leaves them out sends all concurrent requests to one queue.
func TestWaitAfterJoins(t *testing.T) {
	const step = 100 * time.Millisecond
	const anyWait, limited = 0, 50 * time.Millisecond
	type refusal struct {
		request int // index in sent
		reason  RefusalReason
		wait    time.Duration
	}
	for _, tt := range []struct {
		name     string
		sent     []time.Duration // longest accepted wait of each request
		refusals []refusal       // in the order of the answers
		reported time.Duration
		isCold   bool
		want     time.Duration
	}{
		{"unknown engine", nil, nil, time.Second, false, time.Second},
		{"nothing sent since", []time.Duration{anyWait, limited}, []refusal{{1, Overflow, time.Second}}, time.Second, false, time.Second},
		{"sent since", []time.Duration{limited, anyWait, anyWait, anyWait}, []refusal{{0, Overflow, time.Second}}, time.Second, false, 1300 * time.Millisecond},
		{"sent since with limited waits", []time.Duration{limited, limited, limited, anyWait}, []refusal{{0, Overflow, time.Second}}, time.Second, false, 1100 * time.Millisecond},
		{"later refusal", []time.Duration{limited, anyWait, limited, anyWait}, []refusal{{0, Overflow, time.Second}, {2, Overflow, 2 * time.Second}}, time.Second, false, 2100 * time.Millisecond},
		{"shorter queue at a later refusal", []time.Duration{limited, anyWait, limited}, []refusal{{0, Overflow, time.Second}, {2, Overflow, 700 * time.Millisecond}}, time.Second, false, 700 * time.Millisecond},
		{"earlier request refused late", []time.Duration{limited, anyWait, limited, anyWait}, []refusal{{2, Overflow, 2 * time.Second}, {0, Overflow, time.Second}}, time.Second, false, 2100 * time.Millisecond},
		{"load of another adapter", []time.Duration{limited, limited, anyWait}, []refusal{{0, Overflow, time.Second}, {1, Cold, 9 * time.Second}}, time.Second, false, 1100 * time.Millisecond},
		{"own load is longer than the queue", []time.Duration{limited, limited}, []refusal{{0, Cold, time.Second}, {1, Overflow, 300 * time.Millisecond}}, time.Second, true, time.Second},
		{"own load is shorter than the queue", []time.Duration{limited, limited}, []refusal{{0, Cold, time.Second}, {1, Overflow, 3 * time.Second}}, time.Second, true, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRouter(RouterConfig{})
			var numbers []uint64
			for _, maxWait := range tt.sent {
				numbers = append(numbers, r.CountRequest("e0", maxWait))
			}
			for _, f := range tt.refusals {
				r.ObserveRefusal("e0", numbers[f.request], f.reason, f.wait)
			}
			is.Equal(r.WaitAfterJoins("e0", tt.reported, tt.isCold, step), tt.want)
		})
	}
}
