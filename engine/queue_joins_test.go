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
	type refusal struct {
		number uint64
		reason RefusalReason
		wait   time.Duration
	}
	for _, tt := range []struct {
		name     string
		sent     int
		refusals []refusal // in the order of the answers
		reported time.Duration
		isCold   bool
		want     time.Duration
	}{
		{"unknown engine", 0, nil, time.Second, false, time.Second},
		{"own refusal is the last request", 1, []refusal{{1, Overflow, time.Second}}, time.Second, false, time.Second},
		{"requests sent after the refusal", 4, []refusal{{1, Overflow, time.Second}}, time.Second, false, 1300 * time.Millisecond},
		{"later refusal", 4, []refusal{{1, Overflow, time.Second}, {3, Overflow, 2 * time.Second}}, time.Second, false, 2100 * time.Millisecond},
		{"shorter queue at a later refusal", 3, []refusal{{1, Overflow, time.Second}, {3, Overflow, 700 * time.Millisecond}}, time.Second, false, 700 * time.Millisecond},
		{"refusals in another order", 4, []refusal{{3, Overflow, time.Second}, {1, Overflow, 2 * time.Second}}, time.Second, false, 2100 * time.Millisecond},
		{"earlier request refused late", 4, []refusal{{3, Overflow, 2 * time.Second}, {1, Overflow, time.Second}}, time.Second, false, 2100 * time.Millisecond},
		{"load of another adapter", 3, []refusal{{1, Overflow, time.Second}, {2, Cold, 9 * time.Second}}, time.Second, false, 1100 * time.Millisecond},
		{"earlier load of another adapter", 3, []refusal{{2, Overflow, time.Second}, {1, Cold, 9 * time.Second}}, time.Second, false, 1100 * time.Millisecond},
		{"own load is longer than the queue", 2, []refusal{{1, Cold, time.Second}, {2, Overflow, 300 * time.Millisecond}}, time.Second, true, time.Second},
		{"own load is shorter than the queue", 2, []refusal{{1, Cold, time.Second}, {2, Overflow, 3 * time.Second}}, time.Second, true, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRouter(RouterConfig{})
			for i := range tt.sent {
				is.Equal(r.CountRequest("e0"), uint64(i+1))
			}
			for _, f := range tt.refusals {
				r.ObserveRefusal("e0", f.number, f.reason, f.wait)
			}
			is.Equal(r.WaitAfterJoins("e0", tt.reported, tt.isCold, step), tt.want)
		})
	}
}
