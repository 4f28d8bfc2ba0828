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

// maxLineBytes bounds one line of a log; longer ones are an error.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Text   string
	Job    string
	Fields []string // name=value, in the order of the names
	raw    string
}

// common are the parts of the program whose lines concern every job: who leads, and what is in force.
var commonPrefixes = []string{"leader:", "entry:", "relay:", "daemon:"}

// Read adds the lines of one log. Lines that are no JSON, such as those of a crash, are left out and counted.
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

// parse reads a line. Whatever stands before the first brace, such as a time of collection, is left out.
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

// Of returns the lines about the job in the order of time, with those between its first and its last line that concern
// every job.
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
		if strings.Contains(l.raw, job) || !first.IsZero() && concernsEveryJob(l) && !l.Time.Before(first) && !l.Time.After(last) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return trace
}

func concernsEveryJob(l Line) bool {
	return slices.ContainsFunc(commonPrefixes, func(prefix string) bool { return strings.HasPrefix(l.Text, prefix) })
}

// String returns the line for a reader, with the time of day.
func (l Line) String() string {
	return fmt.Sprintf("%s  %-20s %s  %s", l.Time.Format("15:04:05.000"), l.Host, l.Text, strings.Join(l.Fields, " "))
}
