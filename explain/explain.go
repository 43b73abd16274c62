// Package explain reads the log lines of instances and tells the story of one
// request: what was decided for it, by what, and how it ended.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Line is one log line about a request.
type Line struct {
	// Step is empty on the line that says how the request ended.
	Step    string
	Outcome string
	// AtMillis is the time since the request arrived.
	AtMillis float64
	// Fields are the line's other fields, in the order of their names.
	Fields []Field
}

// Field is one field of a line.
type Field struct{ Name, Value string }

// maxLine bounds a log line.
const maxLine = 1 << 20

// Read returns the lines about a request, in the order of their times. Lines
// that are no JSON, or about something else, are passed over; text before the
// first brace of a line is too, since collectors put names and times there.
func Read(log io.Reader, request string) ([]Line, error) {
	var lines []Line
	err := scan(log, request, func(fields map[string]any) {
		if fields["request"] == request {
			lines = append(lines, lineOf(fields))
		}
	})
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch {
		case a.AtMillis < b.AtMillis:
			return -1
		case a.AtMillis > b.AtMillis:
			return 1
		default:
			return 0
		}
	})
	return lines, err
}

// scan hands on the fields of each JSON line that contains a text.
func scan(log io.Reader, containing string, each func(fields map[string]any)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 || !strings.Contains(text, containing) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[brace:]), &fields) == nil {
			each(fields)
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// told are the fields that the story tells in a place of their own, and those
// that say nothing of the request.
var told = map[string]bool{
	"time": true, "level": true, "msg": true, "request": true, "step": true, "outcome": true, "atMillis": true,
	"tookMillis": true,
}

func lineOf(fields map[string]any) Line {
	line := Line{Outcome: text(fields["outcome"])}
	line.Step, _ = fields["step"].(string)
	at := fields["atMillis"]
	if line.Step == "" {
		at = fields["tookMillis"]
	}
	line.AtMillis, _ = at.(float64)
	for name, value := range fields {
		if !told[name] || (name == "tookMillis" && line.Step != "") {
			line.Fields = append(line.Fields, Field{Name: name, Value: text(value)})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line
}

// text writes a field's value.
func text(value any) string {
	switch of := value.(type) {
	case string:
		return of
	case nil:
		return "none"
	case float64:
		return fmt.Sprintf("%g", of)
	default:
		encoded, err := json.Marshal(of)
		if err != nil {
			return fmt.Sprint(of)
		}
		return string(encoded)
	}
}

// Write tells the story.
func Write(out io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		return errors.Errorf("no line about request %s; served requests are logged one in fifty", request)
	}
	for _, line := range lines {
		step := line.Step
		if step == "" {
			step = "ended"
		}
		fmt.Fprintf(out, "%6.0f ms  %-9s %s\n", line.AtMillis, step, line.Outcome)
		for _, field := range line.Fields {
			fmt.Fprintf(out, "%21s%s = %s\n", "", field.Name, field.Value)
		}
	}
	return nil
}
