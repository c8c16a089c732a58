package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/vanilladrift/vanilladrift/check"
	"github.com/vanilladrift/vanilladrift/platform"
)

// statusError is an error with the exit status of the process.
type statusError struct {
	status int
	err    error
}

// Error implements the error interface.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *statusError) Unwrap() error { return e.err }

// configCheckCommand checks a configuration in a file.
type configCheckCommand struct {
	Against string `long:"against" description:"file with the configuration in force, to list what differs in meaning"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"the platform's configuration or settings documents, as JSON; - for standard input"`
	} `positional-args:"true"`

	out io.Writer // os.Stdout if it is nil
}

// configReport is the result of a check.
type configReport struct {
	File        string          `json:"file"`
	Findings    []check.Finding `json:"findings"`
	Differences []string        `json:"differences,omitzero"` // nil if nothing was compared
}

// Execute implements flags.Commander. It fails with status 2 if a file cannot be read, and with 1 if
// there are findings.
func (c *configCheckCommand) Execute([]string) error {
	report, err := c.check()
	if err != nil {
		return &statusError{exitUsage, err}
	}
	out := c.out
	if out == nil {
		out = os.Stdout
	}
	if err := report.print(out, c.JSON, c.Against); err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return &statusError{exitFailed, fmt.Errorf("findings in %s: %d", report.File, n)}
	}
	return nil
}

func (c *configCheckCommand) check() (configReport, error) {
	report := configReport{File: c.Args.File, Findings: []check.Finding{}}
	data, err := readFile(c.Args.File)
	if err != nil {
		return report, err
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = readFile(c.Against); err != nil {
			return report, err
		}
		if check.HoldsDocuments(inForce) != check.HoldsDocuments(data) {
			return report, fmt.Errorf("%s and %s are not of the same form", c.Args.File, c.Against)
		}
	}
	if check.HoldsDocuments(data) {
		err = report.checkDocuments(data, inForce, c.Against)
	} else {
		err = report.checkConfiguration(data, inForce, c.Against)
	}
	check.Sort(report.Findings)
	return report, err
}

// checkConfiguration checks the platform's configuration. inForce is nil if there is nothing to compare
// it with.
func (r *configReport) checkConfiguration(data, inForce []byte, against string) error {
	c, faults, err := platform.DecodeConfigFile(data)
	if err != nil {
		return fmt.Errorf("%s: %w", r.File, err)
	}
	r.Findings = append(r.Findings, faults...)
	if check.IsIncomplete(faults) {
		return nil
	}
	r.Findings = append(r.Findings, c.Findings()...)
	if inForce == nil {
		return nil
	}
	before, faults, err := platform.DecodeConfigFile(inForce)
	if err == nil && check.IsIncomplete(faults) {
		err = incompleteError(faults)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", against, err)
	}
	r.Findings = append(r.Findings, c.CheckVersion(before)...)
	r.Differences = c.DifferencesFrom(before)
	return nil
}

// checkDocuments checks settings documents likewise.
func (r *configReport) checkDocuments(data, inForce []byte, against string) error {
	d, faults, err := check.ReadDocuments(data)
	if err != nil {
		return fmt.Errorf("%s: %w", r.File, err)
	}
	r.Findings = append(r.Findings, faults...)
	if check.IsIncomplete(faults) {
		return nil
	}
	r.Findings = append(r.Findings, d.Findings()...)
	if inForce == nil {
		return nil
	}
	before, faults, err := check.ReadDocuments(inForce)
	if err == nil && check.IsIncomplete(faults) {
		err = incompleteError(faults)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", against, err)
	}
	r.Differences = d.DifferencesFrom(before)
	return nil
}

func incompleteError(faults []check.Finding) error {
	return fmt.Errorf("line %d: %s: %s", faults[0].Line, faults[0].Path, faults[0].Message)
}

// print writes the report as JSON, or as a line for each finding and each difference.
func (r *configReport) print(w io.Writer, asJSON bool, against string) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	var text strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s:%d: %s: %s (%s)\n", r.File, f.Line, f.Path, f.Message, f.Rule)
	}
	if r.Differences != nil {
		fmt.Fprintf(&text, "differences from %s: %d\n", against, len(r.Differences))
	}
	for _, d := range r.Differences {
		fmt.Fprintln(&text, "  "+d)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// readFile reads a file, or standard input for "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
