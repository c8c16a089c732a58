package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/vanilladrift/vanilladrift/table"
)

func witnesses(from, to int) (list []table.Witness) {
	for i := from; i < to; i++ {
		list = append(list, table.Witness{Session: fmt.Sprintf("p%d.1", i), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return list
}

// An extension and a replacement must share a witness, whichever agree to each.
func TestQuorumsShareAWitness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := witnesses(0, rapid.IntRange(0, 2*maxWitnesses).Draw(t, "candidates"))
		set = Choose("n", nil, set)
		promised := make(map[string]bool)
		round := &Round{}
		for _, w := range set {
			if rapid.Bool().Draw(t, "promises") {
				promised[w.Session] = true
			} else {
				round.Add(w.Session)
			}
		}
		if MayReplace(set, promised) && round.Enough([][]table.Witness{set}) {
			t.Fatal("replaced and extended at the same time")
		}
	})
}

// Guards against leases that a single node extends which does not know of a restore.
func TestRoundNeedsMinConsents(t *testing.T) {
	is := is.New(t)
	r := &Round{MinConsents: MinConsentsAcrossRestores}
	r.Add("p0.1")
	is.True(!r.Enough([][]table.Witness{witnesses(0, 1)}))
	r.Add("p1.1")
	is.True(r.Enough([][]table.Witness{witnesses(0, 2)}))
	is.True(!r.Enough([][]table.Witness{witnesses(0, 2), witnesses(1, 2)}))
}

func TestRound(t *testing.T) {
	for _, tt := range []struct {
		name     string
		sets     [][]table.Witness
		consents int // of the first witnesses
		enough   bool
	}{
		{"no set is known", nil, 5, false},
		{"no witnesses", [][]table.Witness{nil}, 5, false},
		{"one witness of one", [][]table.Witness{witnesses(0, 1)}, 1, true},
		{"one witness of two", [][]table.Witness{witnesses(0, 2)}, 1, false},
		{"one of five is missing", [][]table.Witness{witnesses(0, 5)}, 4, true},
		{"two of five are missing", [][]table.Witness{witnesses(0, 5)}, 3, false},
		{"an unconfirmed set agrees too", [][]table.Witness{witnesses(0, 5), witnesses(1, 6)}, 5, true},
		{"an unconfirmed set does not agree", [][]table.Witness{witnesses(0, 5), witnesses(2, 7)}, 5, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Round{}
			for _, w := range witnesses(0, tt.consents) {
				r.Add(w.Session)
			}
			is.Equal(r.Enough(tt.sets), tt.enough)
		})
	}
}

// The set changes by the witness that ended only, however many members join.
func TestChooseKeepsWitnesses(t *testing.T) {
	is := is.New(t)
	set := Choose("n", nil, witnesses(0, 40))
	is.Equal(len(set), maxWitnesses)
	is.Equal(Choose("n", set, witnesses(0, 80)), set)
	without := slices.DeleteFunc(witnesses(0, 80), func(w table.Witness) bool { return w == set[2] })
	next := Choose("n", set, without)
	is.Equal(len(next), maxWitnesses)
	is.Equal(next[:4], append(slices.Clone(set[:2]), set[3:]...))
	is.Equal(len(Choose("n", nil, nil)), 0)
}

func TestEndedSessions(t *testing.T) {
	is := is.New(t)
	e := EndedSessions{LeaseTime: time.Second, Retention: time.Minute}
	observe := func(inForce bool, now time.Time) bool {
		e.Read(map[string]bool{"s": inForce}, now)
		return e.Ended("s")
	}
	is.True(!observe(true, t0))
	is.True(!observe(false, t0)) // it may have agreed just before
	is.True(!observe(false, t0.Add(time.Second)))
	is.True(observe(false, t0.Add(time.Second+1)))
	is.True(!observe(true, t0.Add(2*time.Second)))
	is.True(!observe(false, t0.Add(3*time.Second)))
}

// Guards against a witness that is taken for ended since a stale view does not list it:
// the time counts between reads of the sessions, and starts anew once it was listed.
func TestEndedSessionsCountReadsOnly(t *testing.T) {
	is := is.New(t)
	e := EndedSessions{LeaseTime: time.Second, Retention: time.Minute}
	e.Read(map[string]bool{"other": true}, t0)
	is.True(!e.Ended("s")) // it joined after this read
	is.True(!e.Ended("s")) // asked again, for another member, without a new read
	e.Read(map[string]bool{"s": true}, t0.Add(5*time.Second))
	e.Read(map[string]bool{}, t0.Add(10*time.Second))
	is.True(!e.Ended("s")) // it was listed since, and may have agreed until just now
	e.Read(map[string]bool{}, t0.Add(11*time.Second+1))
	is.True(e.Ended("s"))
}

// Guards against engines that wait longer since their owner's witnesses are asked about only
// after these have ended.
func TestEndedSessionsCountFromTheReadThatMissesThem(t *testing.T) {
	is := is.New(t)
	e := EndedSessions{LeaseTime: time.Second, Retention: time.Minute}
	e.Read(map[string]bool{"s": true, "fenced": true}, t0)
	e.Read(map[string]bool{"fenced": false}, t0.Add(time.Second))
	e.Read(map[string]bool{}, t0.Add(2*time.Second+1))
	is.True(e.Ended("s"))
	is.True(e.Ended("fenced"))
}

// Guards against memory that grows with each restart of a node.
func TestEndedSessionsAreForgotten(t *testing.T) {
	is := is.New(t)
	e := EndedSessions{LeaseTime: time.Second, Retention: time.Minute}
	for i := range 1000 {
		e.Read(map[string]bool{fmt.Sprint(i): true}, t0.Add(time.Duration(i)*time.Second))
		e.Ended(fmt.Sprint(i - 1))
	}
	is.True(len(e.since) <= 61)
}
