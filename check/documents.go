package check

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/vanilladrift/vanilladrift/settings"
)

// Documents are the documents of package settings as a file has them: a list, an object with a list as
// its field docs, which is what the client prints, or a single document.
type Documents struct {
	Docs []settings.Document

	places *Places
	prefix string // of the paths of the documents
	single bool
}

// documentsFile is a file with a list of documents in an object, or with a single document.
type documentsFile struct {
	settings.Document
	Docs []settings.Document `json:"docs"`
}

// HoldsDocuments reports whether a JSON file holds settings documents. Other files hold the
// platform's configuration.
func HoldsDocuments(data []byte) bool {
	var list []json.RawMessage
	if json.Unmarshal(data, &list) == nil {
		return true
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return false
	}
	return fields["docs"] != nil || fields["kind"] != nil
}

// ReadDocuments reads settings documents from a file. faults are values of another type than the field
// has. It fails if the file is not JSON.
func ReadDocuments(data []byte) (d Documents, faults []Finding, err error) {
	if d.places, err = ReadPlaces(data); err != nil {
		return d, nil, err
	}
	var file documentsFile
	if json.Unmarshal(data, &[]json.RawMessage{}) == nil {
		err = json.Unmarshal(data, &d.Docs)
	} else if err = json.Unmarshal(data, &file); file.Kind != "" {
		d.Docs, d.single = []settings.Document{file.Document}, true
	} else {
		d.Docs, d.prefix = file.Docs, "docs"
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return d, []Finding{{Place: d.places.AtOffset(typeError.Offset), Rule: WrongType, Message: typeError.Value + " where another type is expected"}}, nil
	}
	return d, nil, err
}

// place returns where a field of a document stands, or the document without a field.
func (d Documents) place(i int, field string) Place {
	within := ""
	if !d.single {
		within = d.prefix + "[" + strconv.Itoa(i) + "]"
	}
	switch {
	case field == "":
		return d.places.At("", within)
	case d.single:
		return d.places.At("fields", "fields."+field)
	}
	return d.places.At(within, within+".fields."+field)
}

// Findings returns the mistakes in the documents, which stand for the whole settings.
func (d Documents) Findings() []Finding {
	var found []Finding
	for _, f := range settings.Check(d.Docs) {
		found = append(found, Finding{Place: d.place(f.Index, f.Err.Field), Rule: Refused, Message: f.Err.Reason})
	}
	first, served := make(map[string]bool), make(map[string]bool)
	for i, doc := range d.Docs {
		if first[doc.ID()] {
			found = append(found, Finding{Place: d.place(i, ""), Rule: DuplicateName, Message: "another document is " + doc.ID()})
		}
		first[doc.ID()] = true
		if doc.Kind == settings.Backend && !doc.Deleted {
			served[doc.Fields["base-model"]] = true
		}
	}
	for i, doc := range d.Docs {
		if model := doc.Fields["base-model"]; doc.Kind == settings.Adapter && !doc.Deleted && len(served) > 0 && !served[model] {
			found = append(found, Finding{Place: d.place(i, "base-model"), Rule: NoServer, Message: "no backend server has the base model " + model})
		}
	}
	Sort(found)
	return found
}

// DifferencesFrom returns what the documents change compared with others, as sentences. Keys are not
// named, nor their hashes.
func (d Documents) DifferencesFrom(before Documents) []string {
	out := newDiffer()
	from, to := byID(before.Docs), byID(d.Docs)
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[id]; !ok {
			out.addf("%s removed", id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(to)) {
		old, ok := from[id]
		if !ok {
			out.addf("%s added", id)
			continue
		}
		out.compareFields(id, old.Fields, to[id].Fields)
	}
	return out.changes
}

// compareFields adds the fields of a document that are set, unset or changed.
func (d *differ) compareFields(id string, from, to map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(allFields(from, to))) {
		a, wasSet := from[name]
		b, isSet := to[name]
		switch {
		case a == b && wasSet == isSet:
		case name == "key-hash":
			d.addf("key of %s replaced", id)
		case !wasSet:
			d.addf("%s of %s set to %s", name, id, b)
		case !isSet:
			d.addf("%s of %s not set any more (%s before)", name, id, a)
		default:
			d.addField(name, id, a, b)
		}
	}
}

func allFields(a, b map[string]string) map[string]string {
	all := maps.Clone(a)
	if all == nil {
		all = make(map[string]string, len(b))
	}
	maps.Copy(all, b)
	return all
}

// byID returns the documents that are not deleted by their kind and name.
func byID(docs []settings.Document) map[string]settings.Document {
	out := make(map[string]settings.Document, len(docs))
	for _, d := range docs {
		if !d.Deleted {
			out[d.ID()] = d
		}
	}
	return out
}
