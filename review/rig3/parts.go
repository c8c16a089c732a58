package rig3

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

// partMark begins the keys under which the stand-in of the store, which has no parts, keeps the rows of other parts
// than the empty one. The rest is PART/KEY.
const partMark = "\x01"

// PutInPart writes a row of a table in a part with a name. The system reads the part with the empty name.
func (s *System) PutInPart(table, part, key string, value []byte) {
	s.Logf("row in table %s, part %q, key %s: %s", table, part, key, value)
	s.Store.Put(table+"/"+partMark+part+"/"+key, value)
}

// withParts returns a handler that gives the rows of h the parts that they are in: a change feed has those of all parts
// of a table, and a read has those of the part that it names, which is the empty one.
func withParts(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			h.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if b, ok := splitParts(body, r.URL.Path == "/rows-feed"); ok {
			body = b
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body) // an error means that the client has left
	})
}

// splitParts returns the body with the parts of its rows, and without rows of parts with a name unless all is set.
func splitParts(body []byte, all bool) ([]byte, bool) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var resp map[string]any
	if d.Decode(&resp) != nil {
		return nil, false
	}
	rows, _ := resp["rows"].([]any)
	kept := make([]any, 0, len(rows))
	for _, row := range rows {
		fields, ok := row.(map[string]any)
		if !ok {
			return nil, false
		}
		key, _ := fields["key"].(string)
		if rest, ok := strings.CutPrefix(key, partMark); ok {
			if !all {
				continue
			}
			fields["part"], fields["key"], _ = strings.Cut(rest, "/")
		}
		kept = append(kept, fields)
	}
	resp["rows"] = kept
	b, err := json.Marshal(resp)
	return b, err == nil
}
