package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"text/template"

	"github.com/pkg/errors"
)

//go:embed page.md.tmpl
var pageText string

// page is the data that the template uses.
type page struct {
	Today  Plan
	Full   Plan
	Slopes []Slope
}

// WritePage writes the content of docs/CAPACITY.md to out.
func WritePage(out io.Writer, slopes []Slope) error {
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"bytes": bytesText, "nanos": nanosText, "n": numberText, "percent": percentText,
		"core": func(nanos float64) string { return percentText(nanos / 1e9) },
		"div":  func(a, b float64) float64 { return a / b }, "mul": func(a, b float64) float64 { return a * b },
		"sub": func(a, b float64) float64 { return a - b }, "add": func(a, b float64) float64 { return a + b },
	}).Parse(pageText)
	if err != nil {
		return errors.Wrap(err, "parse page template")
	}
	data := page{Today: newPlan(Today, slopes), Full: newPlan(Full, slopes), Slopes: slopes}
	return errors.Wrap(parsed.Execute(out, data), "write page")
}

// unit is a display unit with the smallest value that is shown in it.
type unit struct {
	from   float64
	format string
}

var (
	byteUnits = []unit{{1e12, "%.1f TB"}, {1e9, "%.1f GB"}, {1e6, "%.1f MB"}, {1e3, "%.1f KB"}, {1, "%.0f B"}}
	timeUnits = []unit{{1e9, "%.2f s"}, {1e6, "%.2f ms"}, {1e3, "%.1f µs"}, {1, "%.0f ns"}}
)

func bytesText(b float64) string { return scaled(b, byteUnits) }

func nanosText(ns float64) string { return scaled(ns, timeUnits) }

// scaled formats a value in the largest unit that it reaches, or else in the
// smallest unit.
func scaled(value float64, units []unit) string {
	for _, u := range units {
		if value >= u.from {
			return fmt.Sprintf(u.format, value/u.from)
		}
	}
	return fmt.Sprintf(units[len(units)-1].format, value)
}

func numberText(x float64) string {
	switch {
	case x >= 1000:
		return fmt.Sprintf("%.0f", x)
	case x >= 10:
		return fmt.Sprintf("%.1f", x)
	default:
		return fmt.Sprintf("%.2f", x)
	}
}

func percentText(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }
