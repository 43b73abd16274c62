package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/table"
)

// Revision is one version of the operators' table.
type Revision struct {
	Number uint64
	// Raw is the encoded configuration that View was built from. It is sent to siblings.
	Raw  []byte
	View *table.View
	// Adjusted lists the cells in whose place other values are used.
	Adjusted []table.Adjustment
	// Since is when the instance began to use the table.
	Since time.Time
}

const (
	// maxRowLines bounds the log lines about the rows of one revision. All rows may be odd in the same way.
	maxRowLines = 30
	// maxLoggedText bounds a text of the configuration in a log line, in bytes.
	maxLoggedText = 256
	// usedDefault is logged where the default of a column is used.
	usedDefault = "default"
)

// log reports a revision that has come into force, the rows that are left out of it and the cells that are used with another
// value.
func (r *Revision) log(from string) {
	klog.InfoS("Table in force", "revision", r.Number, "from", from, "hosts", len(r.View.Routes),
		"services", len(r.View.Services), "bytes", len(r.Raw), "rowsLeftOut", len(r.View.LeftOut), "cellsAdjusted", len(r.Adjusted))
	for _, row := range r.View.LeftOut[:min(len(r.View.LeftOut), maxRowLines)] {
		klog.InfoS("Left out an unusable row of the configuration", "revision", r.Number, "row", shortened(row.Row.String()), "err", shortened(row.Cause.Error()))
	}
	for _, cell := range r.Adjusted[:min(len(r.Adjusted), maxRowLines)] {
		used := cell.Used
		if used == "" {
			used = usedDefault
		}
		klog.InfoS("Used another value than that of the configuration", "revision", r.Number, "row", shortened(cell.Row.String()), "column", cell.Column, "value", cell.Value, "used", used)
	}
}

func shortened(text string) string { return text[:min(len(text), maxLoggedText)] }

// TableFaults returns how many rows are left out of the table in force, and how many of its cells are used with another value.
func (in *Instance) TableFaults() (rowsLeftOut, cellsAdjusted int) {
	if revision := in.table.Load(); revision != nil {
		return len(revision.View.LeftOut), len(revision.Adjusted)
	}
	return 0, 0
}
