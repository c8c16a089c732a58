package settings

import (
	"fmt"
	"slices"
)

// Fault is why a document of a set would be refused. Err has the type *[Error].
type Fault struct {
	Index int // of the document
	Err   *Error
}

// Check returns why documents would be refused if they were the whole settings: the first reason for
// each. Of several documents with one name the last one counts, and of several callers with one key the
// first.
func Check(docs []Document) []Fault {
	const op = "check"
	var faults []Fault
	var named []Document // the tree relies on valid names
	for i, d := range docs {
		if err := checkName(op, d.Kind, d.Name); err != nil && !d.Deleted {
			faults = append(faults, Fault{Index: i, Err: asError(op, err)})
		} else if err == nil {
			named = append(named, d)
		}
	}
	tree := FromSnapshot(0, named)
	for _, d := range slices.Backward(named) {
		if d.Kind == Caller && !d.Deleted {
			tree.callersByKeyHash[d.Fields[keyHashField]] = d
		}
	}
	for i, d := range docs {
		if d.Deleted || checkName(op, d.Kind, d.Name) != nil {
			continue
		}
		err := checkFields(op, d)
		if err == nil {
			err = tree.checkReferences(op, d)
		}
		if err != nil {
			faults = append(faults, Fault{Index: i, Err: asError(op, err)})
		}
	}
	return faults
}

// asError returns err as an [Error], which all checks of documents return.
func asError(op string, err error) *Error {
	if e, ok := err.(*Error); ok {
		return e
	}
	return &Error{Op: op, Kind: Invalid, Reason: fmt.Sprint(err)}
}
