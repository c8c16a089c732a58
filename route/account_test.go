package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func account(name string, keys ...string) AccountKeys {
	return AccountKeys{Account: Account{Name: name}, Keys: keys}
}

// Guards against keys that authenticate the wrong account, or any account although two have them.
func TestAccountOfKey(t *testing.T) {
	accounts := []AccountKeys{
		account("a", "ka", "ka2", "ka", "both", ""), account("b", "kb", "both"), account("c", "both", ""), account("d"),
	}
	table := NewTable(1, nil, nil, Limits{}).WithAccounts(accounts)
	for _, tt := range []struct{ key, want string }{
		{"ka", "a"},
		{"ka2", "a"},
		{"kb", "b"},
		{"both", ""},
		{"", ""},
		{"KA", ""},
		{"ka ", ""},
		{"a", ""},
	} {
		t.Run(tt.key, func(t *testing.T) {
			is := is.New(t)
			a, ok := table.Account(tt.key)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(a.Name, tt.want)
			}
		})
	}
	is := is.New(t)
	is.Equal(table.ConflictingAccounts(), []string{"a", "b", "c"})
	without := NewTable(1, nil, nil, Limits{})
	_, ok := without.WithAccounts(nil).Account("ka")
	is.True(!ok)
	is.True(without.WithAccounts(nil).HasAccounts()) // an empty list authenticates nobody
	is.True(!without.HasAccounts())
}

// Guards against an order of requests in which a route's priority outweighs an account's, or a
// large priority becomes the highest one.
func TestPriorityOf(t *testing.T) {
	is := is.New(t)
	is.Equal(PriorityOf(&Route{Priority: 7}, nil), 7)
	is.Equal(PriorityOf(&Route{Priority: 7}, &Account{Priority: 4}), 7)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (int, int, int) {
			a, r := rapid.Int().Draw(t, name+" account"), rapid.Int().Draw(t, name+" route")
			return a, r, PriorityOf(&Route{Priority: r}, &Account{Priority: a, HasPriority: true})
		}
		a1, r1, p1 := draw("first")
		a2, r2, p2 := draw("second")
		if p1 < 0 || p1 > 9 {
			t.Fatalf("priority %d of account priority %d and route priority %d", p1, a1, r1)
		}
		if a1 <= a2 && r1 <= r2 && p1 > p2 || max(0, a1) < a2 && a2 <= 3 && p1 >= p2 {
			t.Fatalf("account %d, route %d: %d; account %d, route %d: %d", a1, r1, p1, a2, r2, p2)
		}
	})
}

// Guards against a request that gives quota back instead of using some.
func TestCost(t *testing.T) {
	is := is.New(t)
	is.Equal(Quota{}.Cost(700, true), 1.0)
	is.Equal(Quota{Unit: TokenUnits, PlainTokens: 40}.Cost(700, true), 700.0)
	is.Equal(Quota{Unit: TokenUnits, PlainTokens: 40}.Cost(0, false), 40.0)
	is.Equal(Quota{Unit: TokenUnits}.Cost(-700, true), 0.0)
	is.True(!Quota{Burst: 5}.IsLimited())
}

// BenchmarkAccount measures the check of a key. The bound is 1 microsecond without an allocation.
func BenchmarkAccount(b *testing.B) {
	accounts, keys := make([]AccountKeys, 10_000), make([]string, 0, 20_000)
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		accounts[i] = account(name, "key-1f0c2d9a77e84b31-"+name, "key-77e84b311f0c2d9a-"+name)
		keys = append(keys, accounts[i].Keys...)
	}
	table := NewTable(1, nil, nil, Limits{}).WithAccounts(accounts)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, ok := table.Account(keys[i]); !ok {
			b.Fatal("the key authenticates nobody")
		}
		i = (i + 7919) % len(keys)
	}
}
