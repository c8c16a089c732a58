package settings

import (
	"maps"
	"strings"
	"unicode/utf8"
)

// Kind is the kind of a document.
type Kind string

// The kinds of document.
const (
	Branch  Kind = "branch"
	Adapter Kind = "adapter"
	Caller  Kind = "caller"
	Backend Kind = "backend"
	Service Kind = "service"
)

const (
	maxNameBytes  = 200
	maxValueBytes = 4096
	maxDepth      = 32
)

// Document is one unit of settings. Fields holds only what is set explicitly.
type Document struct {
	Kind    Kind              `json:"kind"`
	Name    string            `json:"name"`
	Rev     int64             `json:"rev"`
	Fields  map[string]string `json:"fields,omitempty"`
	Deleted bool              `json:"deleted,omitempty"`
}

// ID returns the kind and name joined by a space, unique within a tree.
func (d Document) ID() string { return string(d.Kind) + " " + d.Name }

// WithFields returns a copy of d in which set is applied and unset is removed.
func (d Document) WithFields(set map[string]string, unset []string) Document {
	fields := maps.Clone(d.Fields)
	if fields == nil {
		fields = make(map[string]string, len(set))
	}
	maps.Copy(fields, set)
	for _, f := range unset {
		delete(fields, f)
	}
	d.Fields = fields
	return d
}

// ParentBranch returns the name of the parent branch, or "" for the root.
func ParentBranch(branch string) string {
	if branch == "/" {
		return ""
	}
	i := strings.LastIndexByte(branch, '/')
	if i == 0 {
		return "/"
	}
	return branch[:i]
}

func checkName(op string, kind Kind, name string) error {
	doc := string(kind) + " " + name
	switch {
	case name == "":
		return invalid(op, doc, "", "the name is empty")
	case len(name) > maxNameBytes:
		return invalid(op, doc[:maxNameBytes], "", "the name is longer than %d bytes", maxNameBytes)
	case !utf8.ValidString(name):
		return invalid(op, "", "", "the name is not valid UTF-8")
	}
	if kind == Branch {
		return checkPath(op, name)
	}
	if i := strings.IndexFunc(name, notNameRune); i >= 0 {
		return invalid(op, doc, "", "the name holds %q; letters, digits, '.', '_' and '-' are allowed", name[i])
	}
	return nil
}

func checkPath(op, name string) error {
	if name == "/" {
		return nil
	}
	doc := "branch " + name
	if name[0] != '/' {
		return invalid(op, doc, "", "a branch name starts with '/'")
	}
	parts := strings.Split(name[1:], "/")
	if len(parts) > maxDepth {
		return invalid(op, doc, "", "deeper than %d levels", maxDepth)
	}
	for _, p := range parts {
		if p == "" || strings.IndexFunc(p, notNameRune) >= 0 {
			return invalid(op, doc, "", "%q is not a branch segment", p)
		}
	}
	return nil
}

func notNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '.' && r != '_' && r != '-'
}
