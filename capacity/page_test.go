package capacity

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The tables in docs/CAPACITY.md must match the slopes in docs/capacity-slopes.json.
func TestPageMatchesSlopes(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../docs/capacity-slopes.json")
	is.NoErr(err)
	var s Slopes
	is.NoErr(json.Unmarshal(raw, &s))
	page, err := os.ReadFile("../docs/CAPACITY.md")
	is.NoErr(err)
	for _, size := range []Size{Today, TwoYears} {
		_, rest, ok := strings.Cut(string(page), "<!-- "+size.Name+" -->\n")
		is.True(ok)
		got, _, ok := strings.Cut(rest, "<!-- end -->")
		is.True(ok)
		var want strings.Builder
		WriteMarkdown(&want, s, size)
		is.Equal(got, want.String())
	}
}
