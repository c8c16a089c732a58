package table

import "encoding/json"

// BuildsPrefix is the key prefix of the rows of [Builds].
const BuildsPrefix = "builds/"

// Builds is the value of the row that lists the software versions of a pool at which streams may
// have begun that can still be resumed.
type Builds struct {
	Pool   string   `json:"pool"`
	Builds []string `json:"builds"`
}

// Key returns the key of the row.
func (b Builds) Key() string { return BuildsPrefix + b.Pool }

// Encode returns the row's value.
func (b Builds) Encode() []byte { return encode(b) }

// DecodeBuilds decodes a row.
func DecodeBuilds(row Row) (Builds, error) {
	var b Builds
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return Builds{}, &Error{Op: "decode builds", Kind: Malformed, Key: row.Key, Err: err}
	}
	return b, nil
}
