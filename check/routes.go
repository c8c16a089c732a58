package check

import (
	"fmt"
	"strings"
	"unicode"
)

// checkMatches finds routes that no request can match. The longest prefix decides, so a route is
// hidden only by an earlier one with the same prefix.
func (f *finder) checkMatches() {
	type pattern struct{ host, prefix string }
	first := make(map[pattern]string)
	for i, r := range f.Routes {
		if reason := hostFault(r.Host); reason != "" {
			f.add(Part{List: Routes, Index: i, Field: Host}, NeverMatches, reason)
		}
		if reason := prefixFault(r.Prefix); reason != "" {
			f.add(Part{List: Routes, Index: i, Field: Prefix}, NeverMatches, reason)
		}
		p := pattern{r.Host, r.Prefix}
		if name, ok := first[p]; ok {
			f.add(Part{List: Routes, Index: i, Field: Prefix}, NeverMatches, fmt.Sprintf("route %s before it has the same host and prefix", name))
			continue
		}
		first[p] = r.Name
	}
}

// hostFault returns why no request can have a host, or "".
func hostFault(host string) string {
	switch {
	case host == "":
		return "the host is missing"
	case strings.ContainsFunc(host, isSpaceOrControl):
		return "a host has no white space"
	case strings.ContainsAny(host, "/?#@"):
		return "a host is a name without scheme and path"
	case strings.Contains(host, "*"):
		return "a host is compared as it is; there are no patterns"
	}
	return ""
}

// prefixFault returns why no path of a request can begin with a prefix, or "".
func prefixFault(prefix string) string {
	switch {
	case strings.ContainsFunc(prefix, unicode.IsControl):
		return "a path has no control characters"
	case strings.ContainsAny(prefix, "?#"):
		return "a path ends before ? and #, unless they are escaped"
	case strings.Contains(prefix, "*"):
		return "a prefix is compared as it is; there are no patterns"
	case strings.Contains(prefix, "%"):
		return "a prefix is compared with the path after its escapes were decoded"
	}
	return ""
}

func isSpaceOrControl(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }
