package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// maxLogLine is the maximum length of a log line in bytes. A longer line makes
// parsing fail.
const maxLogLine = 1 << 20

// stateChangeWindow is how far before the first log line of a request the state
// changes of the processes are included.
const stateChangeWindow = 10 * time.Second

// stateChanges are the log messages that record a change in what a process
// knows about its configuration, peers or targets. They explain the outcome of
// requests whose own log lines do not mention the change.
var stateChanges = map[string]bool{
	"document in force": true, "targets changed": true, "core lost": true, "core regained": true,
	"target regained": true, "target announced": true, "target left": true, "weights update": true,
	"rollout step": true, "rollout step in force": true,
	"control log changed": true, "front started": true, "front stops": true, "settings reloaded": true,
}

// logLine is one parsed log line of one process.
type logLine struct {
	file   string
	time   time.Time
	id     string
	msg    string
	fields map[string]any
}

func addExplain(r *registry) {
	c := r.app.Command("explain", "Prints the course of a request and what its processes believed.")
	example(c, "Joins the log lines of several processes by the request's id. Each file holds the JSON lines of one process.",
		"cuminwing explain 9c41d07be2a35f68 --logs front-1.log --logs core-1.log")
	id := c.Arg("id", "Request id.").Required().String()
	files := c.Flag("logs", "Log file of one process; may be repeated.").Required().PlaceHolder("FILE").Strings()
	r.add(c, func(out, errOut io.Writer) int {
		lines, err := readLogs(*files)
		if err != nil {
			fmt.Fprintln(errOut, "cuminwing explain:", err)
			return ExitFailed
		}
		timeline := requestTimeline(lines, *id)
		if len(timeline) == 0 {
			fmt.Fprintf(errOut, "cuminwing explain: no line of request %s in %d lines\n", *id, len(lines))
			return ExitFailed
		}
		for _, line := range timeline {
			fmt.Fprintln(out, line.text())
		}
		return ExitOK
	})
}

func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		fileLines, err := parseLog(filepath.Base(name), file)
		// The file was only read, so an error from Close loses no data.
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
	return lines, nil
}

// parseLog reads JSON log lines. It ignores any text before the first brace of
// a line, and skips lines that are not JSON objects with a timestamp, because
// other programs may write to the same file.
func parseLog(name string, r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		timestamp, _ := fields["ts"].(string)
		parsed, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			continue
		}
		line := logLine{file: name, time: parsed, fields: fields}
		line.msg, _ = fields["msg"].(string)
		line.id, _ = fields["id"].(string)
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// requestTimeline returns the log lines of a request together with the state
// changes logged during it and within stateChangeWindow before it.
func requestTimeline(lines []logLine, id string) []logLine {
	first, last := -1, -1
	for i := range lines {
		if lines[i].id != id {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
	}
	if first < 0 {
		return nil
	}
	from := lines[first].time.Add(-stateChangeWindow)
	var timeline []logLine
	for _, line := range lines[:last+1] {
		if line.id == id || stateChanges[line.msg] && line.time.After(from) {
			timeline = append(timeline, line)
		}
	}
	return timeline
}

// text formats the line as time, file, message and the fields sorted by name.
func (l *logLine) text() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if name != "ts" && name != "msg" && name != "level" && name != "errorVerbose" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.time.Format("15:04:05.000"), l.file, l.msg)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
