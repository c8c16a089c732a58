package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func adapterDoc(name, versions, cur string) Document {
	return Document{Kind: Adapter, Name: name, Fields: map[string]string{"base-model": "base", "versions": versions, "current": cur}}
}

func branchDoc(name string, fields map[string]string) Document {
	return Document{Kind: Branch, Name: name, Fields: fields}
}

func testTree() *Tree {
	return FromSnapshot(7, []Document{
		adapterDoc("tides", "v1,v2", "v2"),
		adapterDoc("dunes", "v1", "v1"),
		branchDoc("/council", map[string]string{"adapter": "tides", "class": "long", "rate": "5"}),
		branchDoc("/council/counter", map[string]string{"class": "short", "adapter-version": "v1"}),
		{Kind: Caller, Name: "till", Fields: map[string]string{"branch": "/council/counter", "key-hash": strings.Repeat("ab", 32)}},
	})
}

func TestInheritance(t *testing.T) {
	is := is.New(t)
	e, ok := testTree().Branch("/council/counter")
	is.True(ok)
	is.Equal(e.Adapter, "tides")
	is.Equal(e.Class, "short")
	is.Equal(e.RateScope, "/council") // the limit is shared with the branch that sets it
	is.Equal(e.ConcurrencyScope, "/")
}

func TestResolve(t *testing.T) {
	tree := testTree()
	for _, tt := range []struct{ branch, name, want string }{
		{"/council", "", "tides@v2"},
		{"/council/counter", "", "tides@v1"},
		{"/council/counter", "tides@v2", "tides@v2"},
		{"/council/counter", "dunes", "dunes@v1"},
		{"/council", "dunes@v9", ""},
		{"/council", "nothing", ""},
		{"/", "", ""},
		{"/council", "@", "tides@v2"},
	} {
		t.Run(tt.branch+" "+tt.name, func(t *testing.T) {
			is := is.New(t)
			e, _ := tree.Branch(tt.branch)
			m, err := tree.Resolve(e, tt.name)
			is.Equal(m.Name, tt.want)
			is.Equal(err != nil, tt.want == "")
		})
	}
}

func TestEditErrors(t *testing.T) {
	set := func(kv ...string) map[string]string {
		m := map[string]string{}
		for i := 0; i < len(kv); i += 2 {
			m[kv[i]] = kv[i+1]
		}
		return m
	}
	for _, tt := range []struct {
		name  string
		edit  Edit
		kind  ErrorKind
		field string
	}{
		{"orphan", Edit{Kind: Branch, Name: "/nobody/child"}, Invalid, ""},
		{"branch name without a slash", Edit{Kind: Branch, Name: "council"}, Invalid, ""},
		{"empty segment", Edit{Kind: Branch, Name: "/council//x"}, Invalid, ""},
		{"invalid segment", Edit{Kind: Branch, Name: "/council/.. /x"}, Invalid, ""},
		{"too deep", Edit{Kind: Branch, Name: strings.Repeat("/a", 33)}, Invalid, ""},
		{"invalid UTF-8", Edit{Kind: Branch, Name: "/\xff"}, Invalid, ""},
		{"empty name", Edit{Kind: Adapter, Name: ""}, Invalid, ""},
		{"very long name", Edit{Kind: Adapter, Name: strings.Repeat("x", 5000)}, Invalid, ""},
		{"unknown kind", Edit{Kind: "planet", Name: "x"}, Invalid, ""},
		{"unknown field", Edit{Kind: Branch, Name: "/council", Set: set("colour", "red")}, Invalid, "colour"},
		{"unset of an unknown field", Edit{Kind: Branch, Name: "/council", Unset: []string{"colour"}}, Invalid, "colour"},
		{"negative size", Edit{Kind: Branch, Name: "/council", Set: set("max-tokens", "-5")}, Invalid, "max-tokens"},
		{"not a number", Edit{Kind: Branch, Name: "/council", Set: set("max-tokens", "many")}, Invalid, "max-tokens"},
		{"overflow", Edit{Kind: Branch, Name: "/council", Set: set("max-tokens", "99999999999999999999")}, Invalid, "max-tokens"},
		{"rate not a number", Edit{Kind: Branch, Name: "/council", Set: set("rate", "NaN")}, Invalid, "rate"},
		{"bad duration", Edit{Kind: Branch, Name: "/council", Set: set("deadline", "soon")}, Invalid, "deadline"},
		{"root-only field on another branch", Edit{Kind: Branch, Name: "/council", Set: set("load-rate", "3")}, Invalid, "load-rate"},
		{"missing adapter", Edit{Kind: Branch, Name: "/council", Set: set("adapter", "ghost")}, Invalid, "adapter"},
		{"version never published", Edit{Kind: Branch, Name: "/council", Set: set("adapter-version", "v9")}, Invalid, "adapter"},
		{"current not among versions", Edit{Kind: Adapter, Name: "tides", Set: set("current", "v9")}, Invalid, "current"},
		{"required field unset", Edit{Kind: Adapter, Name: "tides", Unset: []string{"current"}}, Invalid, "current"},
		{"caller of a missing branch", Edit{Kind: Caller, Name: "x", Set: set("branch", "/ghost", "key-hash", strings.Repeat("cd", 32))}, Invalid, "branch"},
		{"key used twice", Edit{Kind: Caller, Name: "x", Set: set("branch", "/", "key-hash", strings.Repeat("ab", 32))}, Invalid, "key-hash"},
		{"key instead of its hash", Edit{Kind: Caller, Name: "x", Set: set("branch", "/", "key-hash", "secret")}, Invalid, "key-hash"},
		{"host name as address", Edit{Kind: Backend, Name: "e", Set: set("address", "localhost:1", "base-model", "b", "slots", "1", "places", "1", "checks-fencing", "on")}, Invalid, "address"},
		{"branch with children deleted", Edit{Kind: Branch, Name: "/council", Delete: true}, Invalid, ""},
		{"branch with callers deleted", Edit{Kind: Branch, Name: "/council/counter", Delete: true}, Invalid, ""},
		{"adapter in use deleted", Edit{Kind: Adapter, Name: "tides", Delete: true}, Invalid, ""},
		{"root deleted", Edit{Kind: Branch, Name: "/", Delete: true}, Invalid, ""},
		{"missing document deleted", Edit{Kind: Adapter, Name: "ghost", Delete: true}, NotFound, ""},
		{"raced", Edit{Kind: Adapter, Name: "tides", BaseRev: 3, Set: set("current", "v1")}, Conflict, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.edit.BaseRev == 0 {
				tt.edit.BaseRev = AnyRevision
			}
			_, err := testTree().Edit(tt.edit)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, tt.kind)
			is.Equal(e.Field, tt.field)
		})
	}
}

func TestChangesApplyInOrderOnly(t *testing.T) {
	is := is.New(t)
	tree := testTree()
	change := func(rev int64, cur string) Change { return Change{Rev: rev, Doc: adapterDoc("tides", "v1,v2", cur)} }
	next, err := tree.WithChanges(change(8, "v1"), change(9, "v2"), change(10, "v1"))
	is.NoErr(err)
	is.Equal(next.Rev(), int64(10))
	same, err := next.WithChanges(change(9, "v2"), change(8, "v1")) // duplicates that arrive late
	is.NoErr(err)
	is.Equal(same.Rev(), int64(10))
	e, _ := same.Branch("/council")
	m, err := same.Resolve(e, "")
	is.NoErr(err)
	is.Equal(m.Name, "tides@v1")
	_, err = next.WithChanges(change(12, "v2"))
	var se *Error
	is.True(errors.As(err, &se) && se.Kind == RevisionGap)
	e, _ = tree.Branch("/council")
	m, _ = tree.Resolve(e, "")
	is.Equal(m.Name, "tides@v2") // the old tree is unchanged
}

func TestInstallSnapshotIgnoresOlderRevision(t *testing.T) {
	is := is.New(t)
	s := &Store{}
	s.InstallSnapshot(7, testTree().AllDocs())
	s.InstallSnapshot(3, nil)
	is.Equal(s.Tree().Rev(), int64(7))
	_, ok := s.Tree().Doc(Adapter, "tides")
	is.True(ok)
}

func FuzzEdit(f *testing.F) {
	f.Add("branch", "/council/x", "max-tokens", "12")
	f.Add("adapter", "a", "versions", "v1,,v2")
	f.Add("backend", "e", "address", "[::1]:80")
	f.Fuzz(func(t *testing.T, kind, name, field, value string) {
		tree := testTree()
		d, err := tree.Edit(Edit{Kind: Kind(kind), Name: name, Set: map[string]string{field: value}, BaseRev: AnyRevision})
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Errorf("untyped error %T", err)
			}
			return
		}
		d.Rev = 8
		if _, err := tree.WithChanges(Change{Rev: 8, Doc: d}); err != nil {
			t.Error(err)
		}
	})
}

func BenchmarkResolveDeepTree(b *testing.B) {
	docs := []Document{adapterDoc("tides", "v1,v2", "v2")}
	name := ""
	for i := range 30 {
		name += fmt.Sprint("/level", i)
		docs = append(docs, branchDoc(name, map[string]string{"adapter": "tides"}))
	}
	for i := range 34_000 {
		docs = append(docs, adapterDoc(fmt.Sprint("a", i), "v1,v2", "v1"))
	}
	tree := FromSnapshot(1, docs)
	b.ReportAllocs()
	for b.Loop() {
		e, _ := tree.Branch(name)
		if _, err := tree.Resolve(e, ""); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a caller's key in an error, if an operator writes it in place of its hash.
func TestKeyIsNotInAnError(t *testing.T) {
	is := is.New(t)
	_, err := New().Edit(Edit{Kind: Caller, Name: "c", BaseRev: AnyRevision, Set: map[string]string{"branch": "/", "key-hash": "secret"}})
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "secret"))
}

// Guards against an edit that ends the operator's call without an answer: a caller on a branch without
// a name.
func TestCallerOfNoBranchIsInvalid(t *testing.T) {
	is := is.New(t)
	_, err := New().Edit(Edit{Kind: Caller, Name: "c", BaseRev: AnyRevision, Set: map[string]string{"branch": "", "key-hash": strings.Repeat("0", 64)}})
	var e *Error
	is.True(errors.As(err, &e) && e.Kind == Invalid && e.Field == "branch")
}
