package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	table := NewTable(3, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example:8080", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
		{"", "", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Match(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(r.Name, tt.want)
			}
		})
	}
}

// Guards against a route that takes the requests of an earlier one with the same prefix.
func TestFirstOfEqualPrefixesMatches(t *testing.T) {
	is := is.New(t)
	var routes []Route
	for i := range 100 {
		routes = append(routes, Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: "/" + strings.Repeat("x/", i%5)})
	}
	table := NewTable(1, routes, nil, Limits{})
	for i := range 5 {
		r, ok := table.Match("a.example", "/"+strings.Repeat("x/", i))
		is.True(ok)
		is.Equal(r.Name, fmt.Sprint(i))
	}
}

func TestPoolForFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{TrafficSplit: []WeightedPool{{"a", 90}, {"b", 10}, {"c", 0}}}
	n := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint("request-", i)
		n[r.PoolFor(id)]++
		is.Equal(r.PoolFor(id), r.PoolFor(id))
	}
	is.True(n["a"] > 8800 && n["a"] < 9200)
	is.Equal(n["c"], 0)
	is.Equal((&Route{}).PoolFor("x"), "")
}

func TestFirstEventTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal((&Route{TargetLatency: 500 * time.Millisecond, TargetGap: 250 * time.Millisecond}).FirstEventTimeout(), 2*time.Second)
	is.Equal((&Route{TargetLatency: time.Second, TargetGap: 250 * time.Millisecond}).FirstEventTimeout(), 4*time.Second)
	is.Equal((&Route{TargetLatency: time.Second, TargetGap: time.Second}).FirstEventTimeout(), 8*time.Second)
}

func ExampleTable_Match() {
	t := NewTable(1, []Route{{Name: "orders", Host: "shop.example", Prefix: "/orders/"}}, nil, Limits{})
	r, ok := t.Match("shop.example", "/orders/17")
	fmt.Println(r.Name, ok)
	// Output: orders true
}
