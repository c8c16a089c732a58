package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = strings.Fields("briquette depot kiln order summer dune castle tide studio jury shell harbour ember plinth ferry lantern")

// TokenText returns the token at position i of the completion of a prompt. It is the
// same on every engine.
func TokenText(model, prompt string, i int) string {
	h := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return words[h%uint64(len(words))] + " "
}

// Completion returns the completion of a prompt by an adapter.
func Completion(model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(model, prompt, i))
	}
	return b.String()
}
