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

// explainCommand shows from daemons' logs what became of a request.
type explainCommand struct {
	Logs []string `long:"log" required:"true" description:"log file of a daemon, - for standard input (repeatable)"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"true" description:"request id, as the caller got it"`
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

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	msg    string
	fields map[string]any
	raw    string
}

func (l logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// readLog reads the JSON lines of a file; other lines are passed over.
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
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at, l.msg = at, l.text("msg")
		lines = append(lines, l)
	}
	return lines, sc.Err()
}

// explain prints the lines of the request, and those of the time in which it was
// under way that tell of its engine, its adapter, or a lost dependency.
func explain(w io.Writer, lines []logLine, id string) error {
	var own []logLine
	for _, l := range lines {
		if l.text("id") == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return errors.NotFoundf("request %s in the logs", id)
	}
	last := own[len(own)-1]
	ms, _ := last.fields["age-ms"].(float64)
	from := last.at.Add(-time.Duration(ms)*time.Millisecond - explainBefore)
	_, adapter, _ := strings.Cut(last.text("adapter"), "/")
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(last.at) {
			continue
		}
		about := l.text("id") == id
		about = about || l.text("engine") != "" && l.text("engine") == last.text("server")
		about = about || adapter != "" && l.text("adapter") == adapter
		about = about || l.text("node") == last.text("node") && dependency[l.msg]
		if about {
			fmt.Fprintf(w, "%s %s\n", l.at.Format("15:04:05.000"), l.raw)
		}
	}
	return nil
}

// explainBefore is how long before a request is looked for what led to it.
const explainBefore = 2 * time.Second

// dependency lists the messages that tell what a node could reach and believed.
var dependency = map[string]bool{
	"started": true, "stopping": true, "store lost": true, "store regained": true, "session was fenced": true,
	"configuration in force": true, "server row removed": true, "servers did not come back after the outage": true,
}
