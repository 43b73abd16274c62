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

// page is what the template sees.
type page struct {
	Today  Plan
	Full   Plan
	Slopes []Slope
}

// WritePage writes docs/CAPACITY.md.
func WritePage(out io.Writer, slopes []Slope) error {
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"bytes": bytesText, "nanos": nanosText, "n": numberText, "percent": percentText,
		"core": func(nanos float64) string { return percentText(nanos / 1e9) },
		"div":  func(a, b float64) float64 { return a / b }, "mul": func(a, b float64) float64 { return a * b },
		"sub": func(a, b float64) float64 { return a - b }, "add": func(a, b float64) float64 { return a + b },
	}).Parse(pageText)
	if err != nil {
		return errors.Wrap(err, "parse page")
	}
	data := page{Today: newPlan(Today, slopes), Full: newPlan(Full, slopes), Slopes: slopes}
	return errors.Wrap(parsed.Execute(out, data), "write page")
}

func bytesText(b float64) string {
	switch {
	case b >= 1e12:
		return fmt.Sprintf("%.1f TB", b/1e12)
	case b >= 1e9:
		return fmt.Sprintf("%.1f GB", b/1e9)
	case b >= 1e6:
		return fmt.Sprintf("%.1f MB", b/1e6)
	case b >= 1e3:
		return fmt.Sprintf("%.1f KB", b/1e3)
	default:
		return fmt.Sprintf("%.0f B", b)
	}
}

func nanosText(ns float64) string {
	switch {
	case ns >= 1e9:
		return fmt.Sprintf("%.2f s", ns/1e9)
	case ns >= 1e6:
		return fmt.Sprintf("%.2f ms", ns/1e6)
	case ns >= 1e3:
		return fmt.Sprintf("%.1f µs", ns/1e3)
	default:
		return fmt.Sprintf("%.0f ns", ns)
	}
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
