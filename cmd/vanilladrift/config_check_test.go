package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files of TestConfigCheck")

// Guards against findings that get lost or change their place, against exit codes that scripts
// misread, and against keys of accounts in the output.
func TestConfigCheck(t *testing.T) {
	for _, tt := range []struct {
		golden string
		status int
		args   []string
	}{
		{"good", 0, []string{"good.json"}},
		{"faults", exitFailed, []string{"faults.json"}},
		{"faults-json", exitFailed, []string{"--json", "faults.json"}},
		{"type", exitFailed, []string{"type.json"}},
		{"type-against", exitFailed, []string{"type.json", "--against", "good.json"}},
		{"next", exitFailed, []string{"next.json", "--against", "good.json"}},
		{"next-json", exitFailed, []string{"next.json", "--against", "good.json", "--json"}},
		{"same", 0, []string{"good.json", "--against", "good.json"}},
		{"older", exitFailed, []string{"../../../platform/example-config.json", "--against", "good.json"}},
		{"documents", 0, []string{"documents.json"}},
		{"documents-next", exitFailed, []string{"documents-next.json", "--against", "documents.json"}},
		{"documents-faults", exitFailed, []string{"documents-faults.json"}},
		{"document", exitFailed, []string{"document.json", "--against", "documents.json"}},
		{"syntax", exitUsage, []string{"syntax.json"}},
		{"missing", exitUsage, []string{"none.json"}},
		{"against-missing", exitUsage, []string{"good.json", "--against", "none.json"}},
		{"against-type", exitUsage, []string{"good.json", "--against", "type.json"}},
		{"against-other-form", exitUsage, []string{"good.json", "--against", "documents.json"}},
	} {
		t.Run(tt.golden, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := configCheckCommand{out: &out}
			t.Chdir("testdata")
			_, err := flags.NewParser(&c, flags.PassDoubleDash).ParseArgs(tt.args)
			is.NoErr(err)
			err = c.Execute(nil)
			text := out.String()
			if err != nil {
				is.Equal(exitStatus(err), tt.status)
				text += "error: " + err.Error() + "\n"
			} else {
				is.Equal(tt.status, 0)
			}
			is.True(!strings.Contains(text, "secret"))
			is.True(!strings.Contains(text, "1111"))
			golden := filepath.Join("golden", tt.golden+".txt")
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(text), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(text, string(want))
		})
	}
}

// Guards against files that end the command instead of being reported.
func FuzzConfigCheck(f *testing.F) {
	for _, name := range []string{"faults.json", "documents-next.json", "documents-faults.json", "document.json", "type.json", "syntax.json"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r configReport
		check := r.checkConfiguration
		if strings.Contains(string(data), `"kind"`) {
			check = r.checkDocuments
		}
		if check(data, data, "against") == nil && len(r.Differences) > 0 {
			t.Errorf("differs from itself: %q", r.Differences)
		}
	})
}
