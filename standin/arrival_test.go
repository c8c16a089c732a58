package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/vanilladrift/vanilladrift/engine"
)

// Guards against commands of two owners of an engine that no test sees.
func TestOwnerViolations(t *testing.T) {
	arrival := func(sender string, token int64, s float64, reply engine.Reply) Arrival {
		return Arrival{Sender: sender, FencingToken: token, At: time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))), Reply: reply}
	}
	restarted := func(a Arrival) Arrival {
		a.Incarnation++
		return a
	}
	for _, tt := range []struct {
		name         string
		arrivals     []Arrival
		checksTokens bool
		want         []string
	}{
		{name: "none"},
		{name: "an owner after the other", arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("a", 1, 1, engine.Conflict), arrival("b", 2, 1.1, engine.Accepted), arrival("c", 3, 1.2, "")}},
		{
			name:     "one token of two senders",
			arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 1, 9, engine.Accepted)},
			want:     []string{"e: one token of two senders: a command under token 1 at 00:00:09.000 from b after a command under token 1 at 00:00:00.000 from a"},
		},
		{
			name:     "a lower token that is refused",
			arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 1, engine.WrongServer), arrival("a", 1, 9, engine.Conflict)},
			want:     []string{`e: a lower token: a command under token 1 at 00:00:09.000 from a (refused, reply "conflict") after a command under token 2 at 00:00:01.000 from b (refused, reply "elsewhere")`},
		},
		{
			name:         "a lower token that is fenced",
			arrivals:     []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 1, engine.Accepted), arrival("a", 1, 9, engine.StaleToken)},
			checksTokens: true,
		},
		{
			name:         "a lower token that is not fenced",
			arrivals:     []Arrival{arrival("b", 2, 1, engine.Accepted), arrival("a", 1, 9, engine.AlreadyDone)},
			checksTokens: true,
			want:         []string{"e: a lower token: a command under token 1 at 00:00:09.000 from a after a command under token 2 at 00:00:01.000 from b"},
		},
		{
			name:         "one token of two senders that is fenced",
			arrivals:     []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 1, engine.Accepted), arrival("b", 1, 9, engine.StaleToken)},
			checksTokens: true,
			want:         []string{`e: one token of two senders: a command under token 1 at 00:00:09.000 from b (refused, reply "fenced") after a command under token 1 at 00:00:00.000 from a`},
		},
		{
			name:     "turns",
			arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 7, engine.Accepted), arrival("a", 3, 9.9, engine.Accepted)},
			want:     []string{"e: senders take turns: a command under token 3 at 00:00:09.900 from a after a command under token 2 at 00:00:07.000 from b"},
		},
		{name: "back after the gap", arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 1, engine.Accepted), arrival("a", 3, 4, engine.Accepted)}},
		{name: "senders that are not known", arrivals: []Arrival{arrival("", 1, 0, engine.Accepted), arrival("", 2, 1, engine.Accepted), arrival("", 2, 2, engine.Accepted)}},
		{name: "a restart of the engine", arrivals: []Arrival{arrival("b", 2, 0, engine.Accepted), restarted(arrival("a", 1, 1, engine.Accepted)), restarted(arrival("a", 2, 2, engine.Accepted))}},
		{
			name:     "turns across a restart of the engine",
			arrivals: []Arrival{arrival("a", 1, 0, engine.Accepted), arrival("b", 2, 1, engine.Accepted), restarted(arrival("a", 3, 2, engine.Accepted))},
			want:     []string{"e: senders take turns: a command under token 3 at 00:00:02.000 from a after a command under token 2 at 00:00:01.000 from b"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(OwnerViolations("e", tt.arrivals, tt.checksTokens, 3*time.Second), tt.want)
		})
	}
}

// Guards against checks that see only the commands that an engine carries out.
func TestRefusedCommandsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := testReplica()
		r.handleCommand("other", "n1", engine.Command{FencingToken: 1})
		r.handleCommand("e", "n2", engine.Command{FencingToken: 2, ExpectedSequence: 9})
		r.SetFault(ReplicaFault{Refusals: 2, RefusalPause: time.Second})
		for _, path := range []string{"/order", "/report"} {
			r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"operation":"load","model":"m","holder":"n3","fencing_token":3}`)))
		}
		r.Restart()
		is.Equal(r.sendCommand(true, "a1", 0), engine.Conflict)
		at, start := time.Now(), r.startMS
		is.Equal(r.Record().Commands, []Arrival{
			{"n1", 1, at, engine.WrongServer, start - 1},
			{"n2", 2, at, engine.Conflict, start - 1},
			{"n3", 3, at, "", start - 1},
			{"n1", 1, at, engine.Conflict, start},
		})

		e := &Engine{ChecksFencing: true, SenderOf: func(r *http.Request) string { return r.RemoteAddr }}
		send := func(path, token string) {
			req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
			req.Header.Set(engine.HeaderFencingToken, token)
			req.RemoteAddr = "n" + token
			e.ServeHTTP(httptest.NewRecorder(), req)
		}
		send(engine.PathFence, "2")
		send(engine.PathUnload, "1")
		send(engine.PathCancel, "0")
		e.SetFault(EngineFault{Down: true})
		send(engine.PathUnload, "3")
		send(engine.PathCancel, "0")
		e.SetFault(EngineFault{})
		e.Restart()
		send(engine.PathFence, "1")
		is.Equal(e.Record().Commands, []Arrival{
			{"n2", 2, at, engine.Accepted, 0}, {"n1", 1, at, engine.StaleToken, 0}, {"n3", 3, at, "", 0}, {"n1", 1, at, engine.Accepted, 1},
		})
	})
}
