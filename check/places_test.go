package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against findings that name another line than the one of their value.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var values []string
		lines, line := make(map[string]int), 1
		var text strings.Builder
		write := func(s string) {
			text.WriteString(s)
			line += strings.Count(s, "\n")
		}
		space := func() string { return strings.Repeat("\n", rapid.IntRange(0, 2).Draw(t, "lines")) + " " }
		write("{" + space() + `"list": [`)
		for i := range rapid.IntRange(1, 20).Draw(t, "entries") {
			if i > 0 {
				write(",")
			}
			write(space() + `{"Name":` + space())
			path := fmt.Sprintf("list[%d].Name", i)
			lines[path] = line
			values = append(values, path)
			write(rapid.SampledFrom([]string{`"x\"]}"`, `12345678901234567890123`, `null`, `true`, `{}`, `[]`, `""`}).Draw(t, "value") + space() + "}")
		}
		write("]" + space() + "}")
		p, err := ReadPlaces([]byte(text.String()))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range values {
			if got := p.At("", strings.ToUpper(path)); got != (Place{lines[path], path}) {
				t.Fatalf("%s is in line %d, got %v in\n%s", path, lines[path], got, text.String())
			}
		}
	})
}

// Guards against values of a wrong type that are named by the place of another value.
func TestAtOffset(t *testing.T) {
	type node struct {
		N int      `json:"n"`
		A []node   `json:"a"`
		B []string `json:"b"`
	}
	for _, tt := range []struct {
		text string
		want Place
	}{
		{"{\"n\":\n\"x\"}", Place{2, "n"}},
		{"{\"a\": [{},\n{\"n\": 2}, {\"n\":\n1.5}]}", Place{3, "a[2].n"}},
		{"{\"b\": [\n{}, \"x\"]}", Place{2, "b[0]"}},
		{"{\"a\": {\n\"n\": 1}}", Place{1, "a"}},
		{"[1]", Place{1, ""}},
	} {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			var v node
			err := json.Unmarshal([]byte(tt.text), &v)
			typeError, ok := err.(*json.UnmarshalTypeError)
			is.True(ok)
			p, err := ReadPlaces([]byte(tt.text))
			is.NoErr(err)
			is.Equal(p.AtOffset(typeError.Offset), tt.want)
		})
	}
}

// Guards against files that are no JSON and are checked as far as they go.
func TestReadPlacesErrors(t *testing.T) {
	for text, line := range map[string]int{"": 1, "{\n\"a\": }": 2, "{}\n{}": 2, "{\"a\":\n": 1, "\n\nx": 3} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := ReadPlaces([]byte(text))
			syntax, ok := err.(*SyntaxError)
			is.True(ok)
			is.Equal(syntax.Line, line)
		})
	}
}
