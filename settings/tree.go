package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Tree is an immutable set of documents at one revision. The zero value is
// not usable; call [New].
type Tree struct {
	rev              int64
	docs             map[Kind]shardedMap[string, Document] // by kind and name
	effective        map[string]*Effective
	adapterVersions  shardedMap[adapterVersionKey, AdapterVersion]
	callersByKeyHash map[string]Document
	backends         []BackendServer
	backendByName    map[string]*BackendServer
}

type adapterVersionKey struct{ adapter, version string }

// AdapterVersion is a published version of an adapter.
type AdapterVersion struct {
	Name      string // "adapter@version", the name by which engines load it; it never changes
	Adapter   string
	BaseModel string // the base model that the adapter belongs to
}

// New returns the tree at revision 0, which holds only the root branch.
func New() *Tree {
	t := &Tree{docs: map[Kind]shardedMap[string, Document]{}, callersByKeyHash: map[string]Document{}}
	t.put(Document{Kind: Branch, Name: "/"})
	t.computeEffective()
	return t
}

// Rev returns the revision of the last change that was applied.
func (t *Tree) Rev() int64 { return t.rev }

// Doc returns the document with the given kind and name.
func (t *Tree) Doc(kind Kind, name string) (Document, bool) {
	return t.docs[kind].get(name)
}

// Docs returns the documents of one kind, sorted by name.
func (t *Tree) Docs(kind Kind) []Document {
	docs := slices.Collect(t.docs[kind].values())
	slices.SortFunc(docs, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return docs
}

// Branch returns the effective settings of a branch. It does not allocate.
func (t *Tree) Branch(name string) (*Effective, bool) {
	e, ok := t.effective[name]
	return e, ok
}

// CallerByKeyHash returns the caller whose key has the given hash.
func (t *Tree) CallerByKeyHash(hash string) (Document, bool) {
	d, ok := t.callersByKeyHash[hash]
	return d, ok
}

// Backends returns the backend servers, sorted by name. The caller must not
// modify the slice.
func (t *Tree) Backends() []BackendServer { return t.backends }

// Backend returns a backend server. The caller must not modify it.
func (t *Tree) Backend(name string) (*BackendServer, bool) {
	b, ok := t.backendByName[name]
	return b, ok
}

// Edit checks e against the tree and returns the resulting document. The caller must
// set the document's revision.
func (t *Tree) Edit(e Edit) (Document, error) {
	const op = "edit"
	if err := checkName(op, e.Kind, e.Name); err != nil {
		return Document{}, err
	}
	old, exists := t.Doc(e.Kind, e.Name)
	if e.BaseRev != AnyRevision && e.BaseRev != old.Rev {
		return Document{}, &Error{
			Op: op, Kind: Conflict, Doc: string(e.Kind) + " " + e.Name,
			Reason: fmt.Sprintf("the document is at revision %d now, with fields %v", old.Rev, old.Fields),
		}
	}
	if e.Delete {
		if !exists {
			return Document{}, &Error{Op: op, Kind: NotFound, Doc: string(e.Kind) + " " + e.Name}
		}
		return t.tombstone(op, old)
	}
	for _, f := range e.Unset {
		if _, ok := fieldsByKind[e.Kind][f]; !ok {
			return Document{}, invalid(op, string(e.Kind)+" "+e.Name, f, "unknown field")
		}
	}
	d := Document{Kind: e.Kind, Name: e.Name, Fields: old.Fields}.WithFields(e.Set, e.Unset)
	if err := checkFields(op, d); err != nil {
		return Document{}, err
	}
	return d, t.checkReferences(op, d)
}

func (t *Tree) tombstone(op string, d Document) (Document, error) {
	if d.Kind == Branch {
		if d.Name == "/" {
			return Document{}, invalid(op, d.ID(), "", "the root branch cannot be deleted")
		}
		for other := range t.docs[Branch].values() {
			if ParentBranch(other.Name) == d.Name {
				return Document{}, invalid(op, d.ID(), "", "branch %s is below it", other.Name)
			}
		}
		for other := range t.docs[Caller].values() {
			if other.Fields["branch"] == d.Name {
				return Document{}, invalid(op, d.ID(), "", "caller %s is attached to it", other.Name)
			}
		}
	}
	if d.Kind == Adapter {
		for other := range t.docs[Branch].values() {
			if other.Fields["adapter"] == d.Name {
				return Document{}, invalid(op, d.ID(), "", "branch %s uses it", other.Name)
			}
		}
	}
	return Document{Kind: d.Kind, Name: d.Name, Deleted: true}, nil
}

// checkReferences fails if the document refers to another one that does not exist.
func (t *Tree) checkReferences(op string, d Document) error {
	switch d.Kind {
	case Branch:
		if p := ParentBranch(d.Name); p != "" {
			if _, ok := t.Doc(Branch, p); !ok {
				return invalid(op, d.ID(), "", "the parent branch %s does not exist", p)
			}
		}
		return t.checkBranchAdapter(op, d)
	case Adapter:
		if !slices.Contains(strings.Split(d.Fields["versions"], ","), d.Fields[current]) {
			return invalid(op, d.ID(), current, "%s is not among the versions", d.Fields[current])
		}
	case Caller:
		if _, ok := t.Doc(Branch, d.Fields["branch"]); !ok {
			return invalid(op, d.ID(), "branch", "branch %s does not exist", d.Fields["branch"])
		}
		if other, ok := t.callersByKeyHash[d.Fields["key-hash"]]; ok && other.Name != d.Name {
			return invalid(op, d.ID(), "key-hash", "the key is already used by caller %s", other.Name)
		}
	case Backend:
		if parseInt(d.Fields["swap-slots"]) > parseInt(d.Fields["slots"]) {
			return invalid(op, d.ID(), "swap-slots", "must not be more than slots")
		}
	}
	return nil
}

func (t *Tree) checkBranchAdapter(op string, d Document) error {
	parent := &defaults
	if p, ok := t.effective[ParentBranch(d.Name)]; ok {
		parent = p
	}
	e := parent.override(d)
	if e.Adapter == "" {
		return nil
	}
	if _, err := t.Resolve(e, ""); err != nil {
		return invalid(op, d.ID(), "adapter", "adapter %s at version %s does not exist", e.Adapter, e.AdapterVersion)
	}
	return nil
}

// WithChanges returns the tree after the changes. Changes that the tree already
// includes are skipped. A change that does not follow the previous revision is an
// error, so revisions never decrease and are never skipped.
func (t *Tree) WithChanges(changes ...Change) (*Tree, error) {
	next := *t
	next.docs = maps.Clone(t.docs)
	changed := map[Kind][]Document{}
	for _, c := range changes {
		if c.Rev <= next.rev {
			continue
		}
		if c.Rev != next.rev+1 {
			return nil, &Error{Op: "apply", Kind: RevisionGap, Doc: c.Doc.ID(), Reason: "a revision is missing before this change"}
		}
		next.put(c.Doc)
		next.rev = c.Rev
		changed[c.Doc.Kind] = append(changed[c.Doc.Kind], c.Doc)
	}
	next.updateIndexes(t, changed)
	return &next, nil
}

// FromSnapshot returns the tree of docs at revision rev.
func FromSnapshot(rev int64, docs []Document) *Tree {
	t := New()
	t.rev = rev
	changed := map[Kind][]Document{}
	for _, d := range docs {
		t.put(d)
		changed[d.Kind] = append(changed[d.Kind], d)
	}
	t.updateIndexes(New(), changed)
	return t
}

// AllDocs returns all documents in no particular order.
func (t *Tree) AllDocs() []Document {
	var all []Document
	for _, docs := range t.docs {
		all = slices.AppendSeq(all, docs.values())
	}
	return all
}

func (t *Tree) put(d Document) {
	if d.Deleted {
		t.docs[d.Kind] = t.docs[d.Kind].delete(d.Name)
		return
	}
	t.docs[d.Kind] = t.docs[d.Kind].put(d.Name, d)
}

// updateIndexes updates the derived maps after the given documents have changed
// since old.
func (t *Tree) updateIndexes(old *Tree, changed map[Kind][]Document) {
	if changed[Branch] != nil {
		t.computeEffective()
	}
	if changed[Adapter] != nil {
		for _, d := range changed[Adapter] {
			t.indexAdapterVersions(old, d)
		}
	}
	if changed[Caller] != nil {
		t.callersByKeyHash = make(map[string]Document, t.docs[Caller].len())
		for d := range t.docs[Caller].values() {
			t.callersByKeyHash[d.Fields["key-hash"]] = d
		}
	}
	if changed[Backend] != nil {
		t.indexBackends()
	}
}

func (t *Tree) indexBackends() {
	docs := t.Docs(Backend)
	t.backends = make([]BackendServer, len(docs))
	t.backendByName = make(map[string]*BackendServer, len(docs))
	for i, d := range docs {
		t.backends[i] = newBackendServer(d)
		t.backendByName[d.Name] = &t.backends[i]
	}
}

func (t *Tree) indexAdapterVersions(old *Tree, d Document) {
	if oldDoc, ok := old.Doc(Adapter, d.Name); ok {
		for v := range strings.SplitSeq(oldDoc.Fields["versions"], ",") {
			t.adapterVersions = t.adapterVersions.delete(adapterVersionKey{d.Name, v})
		}
		t.adapterVersions = t.adapterVersions.delete(adapterVersionKey{d.Name, current})
	}
	if d.Deleted {
		return
	}
	for v := range strings.SplitSeq(d.Fields["versions"], ",") {
		av := AdapterVersion{Name: d.Name + "@" + v, Adapter: d.Name, BaseModel: d.Fields["base-model"]}
		t.adapterVersions = t.adapterVersions.put(adapterVersionKey{d.Name, v}, av)
		if v == d.Fields[current] {
			t.adapterVersions = t.adapterVersions.put(adapterVersionKey{d.Name, current}, av)
		}
	}
}

// computeEffective computes the effective settings of every branch, parents first.
func (t *Tree) computeEffective() {
	branches := t.Docs(Branch)
	t.effective = make(map[string]*Effective, len(branches))
	for _, d := range branches {
		parent := &defaults
		if p, ok := t.effective[ParentBranch(d.Name)]; ok {
			parent = p
		}
		t.effective[d.Name] = parent.override(d)
	}
}

// Resolve returns the adapter version that serves a request on the branch. The name
// is the request's model, "adapter" or "adapter@version"; if empty, the branch's
// adapter is used. Resolve does not allocate unless it fails.
func (t *Tree) Resolve(e *Effective, name string) (AdapterVersion, error) {
	adapter, version, _ := strings.Cut(name, "@")
	if adapter == "" {
		adapter = e.Adapter
	}
	if version == "" && adapter == e.Adapter {
		version = e.AdapterVersion
	}
	if version == "" {
		version = current
	}
	if av, ok := t.adapterVersions.get(adapterVersionKey{adapter, version}); ok {
		return av, nil
	}
	if adapter == "" {
		return AdapterVersion{}, invalid("resolve", "branch "+e.Name, "adapter", "none is set and the request names none")
	}
	if _, ok := t.Doc(Adapter, adapter); !ok {
		return AdapterVersion{}, &Error{Op: "resolve", Kind: NotFound, Doc: "adapter " + adapter}
	}
	return AdapterVersion{}, &Error{Op: "resolve", Kind: NotFound, Doc: "adapter " + adapter, Field: "versions", Reason: version + " was never published"}
}
