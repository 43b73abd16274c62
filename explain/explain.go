// Package explain finds requests in the log lines of instances. For one request
// it lists the decisions with their causes and the outcome. It also searches
// and counts the requests that ended.
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
	// Step is the step of the request that the line reports. It is empty in the line about
	// the end of the request.
	Step    string
	Outcome string
	// AtMillis is the time since the request arrived.
	AtMillis float64
	// Fields are the other fields of the line, sorted by name.
	Fields []Field
}

// Field is one field of a line.
type Field struct{ Name, Value string }

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Read returns the lines about a request, sorted by time. It skips lines that
// contain no JSON or are about something else, and text before the first brace
// of a line, since log collectors put names and times there.
func Read(log io.Reader, request string) ([]Line, error) {
	var lines []Line
	err := scan(log, request, func(fields map[string]any) {
		if fields["request"] == request {
			lines = append(lines, newLine(fields))
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

// scan calls visit with the fields of each JSON line that contains a text.
func scan(log io.Reader, containing string, visit func(fields map[string]any)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 || !strings.Contains(text, containing) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[brace:]), &fields) == nil {
			visit(fields)
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// ownColumn lists the fields that Write prints in columns of their own, and
// those that are not about the request.
var ownColumn = map[string]bool{
	"time": true, "level": true, "msg": true, "request": true, "step": true, "outcome": true, "atMillis": true,
	"tookMillis": true,
}

func newLine(fields map[string]any) Line {
	line := Line{Outcome: formatValue(fields["outcome"])}
	line.Step, _ = fields["step"].(string)
	at := fields["atMillis"]
	if line.Step == "" {
		at = fields["tookMillis"]
	}
	line.AtMillis, _ = at.(float64)
	for name, value := range fields {
		if !ownColumn[name] || (name == "tookMillis" && line.Step != "") {
			line.Fields = append(line.Fields, Field{Name: name, Value: formatValue(value)})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line
}

// formatValue formats the value of a field.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case nil:
		return "none"
	case float64:
		return fmt.Sprintf("%g", v)
	default:
		encoded, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(encoded)
	}
}

// Write prints the lines of a request.
func Write(out io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		return errors.Errorf("no log line about request %s: only one in fifty served requests is logged", request)
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
