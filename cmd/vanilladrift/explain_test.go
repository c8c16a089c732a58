package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleLog = `something else
{"time":"2026-01-01T10:00:00Z","msg":"request ended","node":"n1","id":"old","server":"i-1","age-ms":5}
{"time":"2026-01-01T10:00:08.5Z","msg":"store lost","node":"n1","table":"servers"}
{"time":"2026-01-01T10:00:08.6Z","msg":"store lost","node":"n2","table":"servers"}
{"time":"2026-01-01T10:00:09Z","msg":"order","node":"n2","engine":"i-1","adapter":"a7","reply":"conflict"}
{"time":"2026-01-01T10:00:09Z","msg":"order","node":"n2","engine":"i-2","adapter":"a8","reply":"accepted"}
{"time":"2026-01-01T10:00:10Z","msg":"request ended","node":"n1","id":"r1","server":"i-1","adapter":"m/a7","status":503,"age-ms":400}
{"time":"2026-01-01T10:00:11Z","msg":"order","node":"n2","engine":"i-1","adapter":"a9"}
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	lines, err := parseLog(strings.NewReader(sampleLog))
	is.NoErr(err)
	is.Equal(len(lines), 7)
	var out strings.Builder
	is.NoErr(explain(&out, lines, "r1"))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(got), 3) // the lost store, the command to its engine, the request
	is.True(strings.Contains(got[0], `"node":"n1","table"`))
	is.True(strings.Contains(got[1], `"conflict"`))
	is.True(strings.Contains(got[2], `"id":"r1"`))
	is.True(explain(&out, lines, "none") != nil)
}
