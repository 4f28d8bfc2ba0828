package chutetrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the longest line of a log, in bytes. A longer line is an error.
const maxLineBytes = 1 << 20

// Line is a parsed line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Text   string
	Job    string
	Fields []string // the other attributes as name=value, sorted
	raw    string   // the complete line, with any text before the JSON
}

// commonPrefixes are the prefixes of log lines that concern every job, such as lines about the leading host or the
// configuration in force.
var commonPrefixes = []string{"leader:", "entry:", "relay:", "daemon:"}

// Read appends the lines of one log to lines. It skips and counts lines that it cannot parse, such as those of a stack
// trace.
func Read(lines []Line, log io.Reader) (all []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "log")
}

// parseLine parses a log line and reports whether it is valid. It ignores text before the first brace, such as the
// prefix that a log collector adds.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{raw: text}
	timestamp, _ := fields["time"].(string)
	parsedTime, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	line.Time = parsedTime
	line.Host, _ = fields["host"].(string)
	line.Text, _ = fields["msg"].(string)
	line.Job, _ = fields["job"].(string)
	for name, value := range fields {
		switch name {
		case "time", "host", "msg", "job", "level":
		default:
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	return line, true
}

// ForJob returns the lines that mention the job, and the lines between the first and the last of them that concern
// every job, sorted by time.
func ForJob(lines []Line, job string) []Line {
	var first, last time.Time
	for _, l := range lines {
		if !strings.Contains(l.raw, job) {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var trace []Line
	for _, l := range lines {
		if strings.Contains(l.raw, job) ||
			!first.IsZero() && concernsEveryJob(l) && !l.Time.Before(first) && !l.Time.After(last) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return trace
}

func concernsEveryJob(l Line) bool {
	return slices.ContainsFunc(commonPrefixes, func(prefix string) bool { return strings.HasPrefix(l.Text, prefix) })
}

// String formats the line for people: time of day, host, text and the other attributes.
func (l Line) String() string {
	return fmt.Sprintf("%s  %-20s %s  %s", l.Time.Format("15:04:05.000"), l.Host, l.Text, strings.Join(l.Fields, " "))
}
