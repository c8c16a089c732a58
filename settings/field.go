package settings

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// field describes one settable field: how a value is checked and, for
// branches, how it is applied to the effective settings.
type field struct {
	check func(v string) string // returns the reason why v is refused, or ""
	apply func(e *Effective, v string)
}

func oneOf(words ...string) func(string) string {
	return func(v string) string {
		if slices.Contains(words, v) {
			return ""
		}
		return "must be one of " + strings.Join(words, ", ")
	}
}

func intRange(lo, hi int64) func(string) string {
	return func(v string) string {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < lo || n > hi {
			return "must be a whole number from " + strconv.FormatInt(lo, 10) + " to " + strconv.FormatInt(hi, 10)
		}
		return ""
	}
}

func rate(v string) string {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f > 0 && f <= 1e6) {
		return "must be a number a second, above 0 and at most 1000000"
	}
	return ""
}

func duration(v string) string {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > 24*time.Hour {
		return "must be a duration such as 2s, above 0 and at most 24h"
	}
	return ""
}

func plainName(v string) string {
	if v == "" || strings.IndexFunc(v, notNameRune) >= 0 {
		return "must be a name of letters, digits, '.', '_' and '-'"
	}
	return ""
}

func nameList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if reason := plainName(p); reason != "" {
			return "must be a comma-separated list of names"
		}
	}
	return ""
}

func address(v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return "must be an IP address and port, such as 127.0.0.1:9000"
	}
	return ""
}

func addressList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if address(p) != "" {
			return "must be a comma-separated list of IP addresses and ports"
		}
	}
	return ""
}

func callList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if !strings.HasPrefix(p, "/") {
			return "must be a comma-separated list of paths that start with '/'"
		}
	}
	return ""
}

func keyHash(v string) string {
	b, err := hex.DecodeString(v)
	if err != nil || len(b) != 32 || strings.ToLower(v) != v {
		return "must be a SHA-256 hash in lower-case hexadecimal"
	}
	return ""
}

func branchName(v string) string {
	if err := checkPath("check", v); v == "" || err != nil {
		return "must be the name of a branch, such as /council/counter"
	}
	return ""
}

func atoi(v string) int {
	n, _ := strconv.Atoi(v)
	return n
}

func atod(v string) time.Duration {
	d, _ := time.ParseDuration(v)
	return d
}

func atof(v string) float64 {
	f, _ := strconv.ParseFloat(v, 64)
	return f
}

// branchFields lists the fields of a branch. The values have passed check
// before apply sees them, so apply ignores parse errors.
var branchFields = map[string]field{
	"adapter":         {plainName, func(e *Effective, v string) { e.Adapter = v }},
	"adapter-version": {plainName, func(e *Effective, v string) { e.AdapterVersion = v }},
	"class":           {oneOf("short", "long"), func(e *Effective, v string) { e.Class = v }},
	"deadline":        {duration, func(e *Effective, v string) { e.Deadline = atod(v) }},
	"max-tokens":      {intRange(1, 1<<20), func(e *Effective, v string) { e.MaxTokens = atoi(v) }},
	"max-body-bytes":  {intRange(1, 1<<28), func(e *Effective, v string) { e.MaxBodyBytes = atoi(v) }},
	"hedge":           {oneOf("on", "off"), func(e *Effective, v string) { e.Hedge = v == "on" }},
	"concurrency":     {intRange(1, 1<<20), func(e *Effective, v string) { e.Concurrency, e.ConcurrencyScope = atoi(v), e.Name }},
	"rate":            {rate, func(e *Effective, v string) { e.Rate, e.RateScope = atof(v), e.Name }},
	"load-rate":       {rate, func(e *Effective, v string) { e.LoadRate = atof(v) }},
	"load-parallel":   {intRange(1, 1024), func(e *Effective, v string) { e.LoadParallel = atoi(v) }},
}

// rootOnly lists the branch fields that hold for the whole system.
var rootOnly = []string{"load-rate", "load-parallel"}

var fieldsOf = map[Kind]map[string]field{
	Branch: branchFields,
	Adapter: {
		"base-model": {check: plainName},
		"versions":   {check: nameList},
		"current":    {check: plainName},
	},
	Caller: {
		"branch":   {check: branchName},
		"key-hash": {check: keyHash},
	},
	Backend: {
		"address":           {check: address},
		"base-model":        {check: plainName},
		"slots":             {check: intRange(1, 4096)},
		"swap-slots":        {check: intRange(0, 4096)},
		"places":            {check: intRange(1, 4096)},
		"checks-fencing":    {check: oneOf("on", "off")},
		"region":            {check: plainName},
		"data-center":       {check: plainName},
		"drain":             {check: oneOf("on", "off")},
		"refuses-when-full": {check: oneOf("on", "off")},
		"unload-waits":      {check: oneOf("on", "off")},
		"prompt-speed":      {check: intRange(1, 1<<20)},
		"token-time":        {check: duration},
		"max-loads":         {check: intRange(1, 1024)},
	},
	Service: {
		"addresses":  {check: addressList},
		"repeatable": {check: callList},
	},
}

// required lists the fields that a document of each kind must set.
var required = map[Kind][]string{
	Adapter: {"base-model", "versions", "current"},
	Caller:  {"branch", "key-hash"},
	Backend: {"address", "base-model", "slots", "places", "checks-fencing"},
	Service: {"addresses"},
}

func checkFields(op string, d Document) error {
	known, ok := fieldsOf[d.Kind]
	if !ok {
		return invalid(op, d.ID(), "", "unknown kind of document %q", string(d.Kind))
	}
	for name, v := range d.Fields {
		f, ok := known[name]
		if !ok {
			return invalid(op, d.ID(), name, "unknown field")
		}
		if len(v) > maxValueBytes {
			return invalid(op, d.ID(), name, "longer than %d bytes", maxValueBytes)
		}
		if !utf8.ValidString(v) {
			return invalid(op, d.ID(), name, "not valid UTF-8")
		}
		if reason := f.check(v); reason != "" {
			return invalid(op, d.ID(), name, "%q %s", v, reason)
		}
		if d.Kind == Branch && d.Name != "/" && slices.Contains(rootOnly, name) {
			return invalid(op, d.ID(), name, "can be set on the root branch only")
		}
	}
	for _, name := range required[d.Kind] {
		if d.Fields[name] == "" {
			return invalid(op, d.ID(), name, "must be set")
		}
	}
	return nil
}
