package settings

import (
	"encoding/hex"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// field describes one field of a document: how a value is validated and, for
// branches, how it is applied to the effective settings.
type field struct {
	check func(v string) string // returns why v is invalid, or ""
	apply func(e *Effective, v string)
}

func checkOneOf(allowed ...string) func(string) string {
	return func(v string) string {
		if slices.Contains(allowed, v) {
			return ""
		}
		return "must be one of " + strings.Join(allowed, ", ")
	}
}

func checkIntRange(lo, hi int64) func(string) string {
	return func(v string) string {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < lo || n > hi {
			return "must be a whole number from " + strconv.FormatInt(lo, 10) + " to " + strconv.FormatInt(hi, 10)
		}
		return ""
	}
}

func checkRate(v string) string {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f > 0 && f <= 1e6) {
		return "must be a rate per second, above 0 and at most 1000000"
	}
	return ""
}

func checkDuration(v string) string {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > 24*time.Hour {
		return "must be a duration such as 2s, above 0 and at most 24h"
	}
	return ""
}

func checkPlainName(v string) string {
	if v == "" || strings.IndexFunc(v, invalidNameRune) >= 0 {
		return "must be a name of letters, digits, '.', '_' and '-'"
	}
	return ""
}

func checkNameList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if reason := checkPlainName(p); reason != "" {
			return "must be a comma-separated list of names"
		}
	}
	return ""
}

func checkAddress(v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return "must be an IP address and port, such as 127.0.0.1:9000"
	}
	return ""
}

func checkAddressList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if checkAddress(p) != "" {
			return "must be a comma-separated list of IP addresses and ports"
		}
	}
	return ""
}

func checkPathList(v string) string {
	for p := range strings.SplitSeq(v, ",") {
		if !strings.HasPrefix(p, "/") {
			return "must be a comma-separated list of paths that start with '/'"
		}
	}
	return ""
}

func checkKeyHash(v string) string {
	b, err := hex.DecodeString(v)
	if err != nil || len(b) != 32 || strings.ToLower(v) != v {
		return "must be a SHA-256 hash in lower-case hexadecimal"
	}
	return ""
}

func checkBranchName(v string) string {
	if v == "" || checkPath("check", v) != nil {
		return "must be the name of a branch, such as /council/counter"
	}
	return ""
}

func parseInt(v string) int {
	n, _ := strconv.Atoi(v)
	return n
}

func parseDuration(v string) time.Duration {
	d, _ := time.ParseDuration(v)
	return d
}

func parseFloat(v string) float64 {
	f, _ := strconv.ParseFloat(v, 64)
	return f
}

// branchFields lists the fields of a branch. Values are checked before they are
// applied, so apply ignores parse errors.
var branchFields = map[string]field{
	"adapter":         {checkPlainName, func(e *Effective, v string) { e.Adapter = v }},
	"adapter-version": {checkPlainName, func(e *Effective, v string) { e.AdapterVersion = v }},
	"class":           {checkOneOf("short", "long"), func(e *Effective, v string) { e.Class = v }},
	"deadline":        {checkDuration, func(e *Effective, v string) { e.Deadline = parseDuration(v) }},
	"max-tokens":      {checkIntRange(1, 1<<20), func(e *Effective, v string) { e.MaxTokens = parseInt(v) }},
	"max-body-bytes":  {checkIntRange(1, 1<<28), func(e *Effective, v string) { e.MaxBodyBytes = parseInt(v) }},
	"hedge":           {checkOneOf("on", "off"), func(e *Effective, v string) { e.Hedge = v == "on" }},
	"concurrency":     {checkIntRange(1, 1<<20), func(e *Effective, v string) { e.Concurrency, e.ConcurrencyScope = parseInt(v), e.Name }},
	"rate":            {checkRate, func(e *Effective, v string) { e.Rate, e.RateScope = parseFloat(v), e.Name }},
	"load-rate":       {checkRate, func(e *Effective, v string) { e.LoadRate = parseFloat(v) }},
	"load-parallel":   {checkIntRange(1, 1024), func(e *Effective, v string) { e.LoadParallel = parseInt(v) }},
}

// keyHashField is the field of a caller with the hash of its key.
const keyHashField = "key-hash"

// rootOnlyFields lists the branch fields that apply to the whole system and can be
// set on the root branch only.
var rootOnlyFields = []string{"load-rate", "load-parallel"}

var fieldsByKind = map[Kind]map[string]field{
	Branch: branchFields,
	Adapter: {
		"base-model": {check: checkPlainName},
		"versions":   {check: checkNameList},
		"current":    {check: checkPlainName},
	},
	Caller: {
		"branch":     {check: checkBranchName},
		keyHashField: {check: checkKeyHash},
	},
	Backend: {
		"address":           {check: checkAddress},
		"base-model":        {check: checkPlainName},
		"slots":             {check: checkIntRange(1, 4096)},
		"swap-slots":        {check: checkIntRange(0, 4096)},
		"places":            {check: checkIntRange(1, 4096)},
		"checks-fencing":    {check: checkOneOf("on", "off")},
		"region":            {check: checkPlainName},
		"data-center":       {check: checkPlainName},
		"drain":             {check: checkOneOf("on", "off")},
		"refuses-when-full": {check: checkOneOf("on", "off")},
		"unload-waits":      {check: checkOneOf("on", "off")},
		"prompt-speed":      {check: checkIntRange(1, 1<<20)},
		"token-time":        {check: checkDuration},
		"max-loads":         {check: checkIntRange(1, 1024)},
	},
	Service: {
		"addresses":  {check: checkAddressList},
		"repeatable": {check: checkPathList},
	},
}

// requiredFields lists the fields that a document of each kind must set.
var requiredFields = map[Kind][]string{
	Adapter: {"base-model", "versions", "current"},
	Caller:  {"branch", "key-hash"},
	Backend: {"address", "base-model", "slots", "places", "checks-fencing"},
	Service: {"addresses"},
}

func checkFields(op string, d Document) error {
	known, ok := fieldsByKind[d.Kind]
	if !ok {
		return invalid(op, d.ID(), "", "unknown kind of document %q", string(d.Kind))
	}
	for _, name := range slices.Sorted(maps.Keys(d.Fields)) { // so that the same fault comes first each time
		v := d.Fields[name]
		f, ok := known[name]
		if !ok {
			return invalid(op, d.ID(), name, "unknown field")
		}
		if len(v) > maxValueBytes {
			return invalid(op, d.ID(), name, "the value is longer than %d bytes", maxValueBytes)
		}
		if !utf8.ValidString(v) {
			return invalid(op, d.ID(), name, "the value is not valid UTF-8")
		}
		if reason := f.check(v); reason != "" && name == keyHashField {
			return invalid(op, d.ID(), name, "the value %s", reason) // it may be the key itself
		} else if reason != "" {
			return invalid(op, d.ID(), name, "%q %s", v, reason)
		}
		if d.Kind == Branch && d.Name != "/" && slices.Contains(rootOnlyFields, name) {
			return invalid(op, d.ID(), name, "can be set on the root branch only")
		}
	}
	for _, name := range requiredFields[d.Kind] {
		if d.Fields[name] == "" {
			return invalid(op, d.ID(), name, "must be set")
		}
	}
	return nil
}
