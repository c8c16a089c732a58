package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

// explainCommand reconstructs the history of a request from the daemons' logs.
type explainCommand struct {
	Logs []string `long:"log" required:"true" description:"log file of a daemon, - for standard input (repeatable)"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"true" description:"request ID, as returned to the caller"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []logLine
	for _, name := range c.Logs {
		found, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	return explain(os.Stdout, lines, c.Args.ID)
}

// logLine is one JSON line of a daemon's log.
type logLine struct {
	at     time.Time
	msg    string
	fields map[string]any
	raw    string
}

func (l logLine) stringField(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// readLog reads the JSON lines of a file, or of standard input for "-".
func readLog(name string) ([]logLine, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, err
		}
		defer f.Close()
	}
	return parseLog(f)
}

// parseLog returns the log lines that hold a JSON object with a time, and skips others.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		start := strings.IndexByte(sc.Text(), '{')
		if start < 0 {
			continue
		}
		l := logLine{raw: sc.Text()[start:]}
		if json.Unmarshal([]byte(l.raw), &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.at, l.msg = at, l.stringField("msg")
		lines = append(lines, l)
	}
	return lines, sc.Err()
}

// explain prints the lines of the request and, from explainLookback before its start
// until its end, those that concern its engine, its adapter or its node's dependencies.
func explain(w io.Writer, lines []logLine, id string) error {
	var requestLines []logLine
	for _, l := range lines {
		if l.stringField("id") == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return errors.NotFoundf("request %s in the logs", id)
	}
	lastLine := requestLines[len(requestLines)-1]
	ageMS, _ := lastLine.fields["age-ms"].(float64)
	from := lastLine.at.Add(-time.Duration(ageMS)*time.Millisecond - explainLookback)
	_, adapter, _ := strings.Cut(lastLine.stringField("adapter"), "/")
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(lastLine.at) {
			continue
		}
		relevant := l.stringField("id") == id
		relevant = relevant || l.stringField("engine") != "" && l.stringField("engine") == lastLine.stringField("server")
		relevant = relevant || adapter != "" && l.stringField("adapter") == adapter
		relevant = relevant || l.stringField("node") == lastLine.stringField("node") && dependencyMessages[l.msg]
		if relevant {
			fmt.Fprintf(w, "%s %s\n", l.at.Format("15:04:05.000"), l.raw)
		}
	}
	return nil
}

// explainLookback covers events before a request that may explain its outcome.
const explainLookback = 2 * time.Second

// dependencyMessages are the log messages about a node's dependencies and state.
var dependencyMessages = map[string]bool{
	"started": true, "stopping": true, "store lost": true, "store regained": true, "session was fenced": true, "the table was restored from a copy; registering again": true,
	"prompts with these parts crash engines; rejecting requests with all of them": true, "server is leaving; it gets no new requests": true,
	"configuration in force": true, "server row removed": true, "servers did not come back after the outage": true,
}
