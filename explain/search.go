package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/mastwheel/mastwheel/registry"
)

// Ended is the log line that says how a request ended.
type Ended struct {
	Time    string
	Request string
	Service string
	Route   string
	Outcome string
	Status  string
	// Reason is empty for a request that was served.
	Reason string
	Detail string
	// Servers are those that the request was sent to, in order.
	Servers []string
	// Revision is the table's by which it was decided.
	Revision   string
	TookMillis float64
}

// Filter says which requests are looked for; an empty field allows all.
type Filter struct {
	Reason   string
	Outcome  string
	Service  string
	Route    string
	Server   string
	Revision string
}

// allows says whether a request is looked for.
func (f Filter) allows(e Ended) bool {
	same := func(wanted, got string) bool { return wanted == "" || wanted == got }
	return same(f.Reason, e.Reason) && same(f.Outcome, e.Outcome) && same(f.Service, e.Service) &&
		same(f.Route, e.Route) && same(f.Revision, e.Revision) &&
		(f.Server == "" || slices.ContainsFunc(e.Servers, f.isServer))
}

// isServer says whether a name is that of the server looked for, or of one of its
// runs.
func (f Filter) isServer(name string) bool {
	id, _, _ := strings.Cut(name, registry.RunMark)
	return name == f.Server || id == f.Server
}

// messageEnded is the message of the lines that say how a request ended.
const messageEnded = "Request ended"

// Search returns the requests that a filter allows, in the order of the log.
func Search(log io.Reader, filter Filter) ([]Ended, error) {
	var found []Ended
	err := scan(log, messageEnded, func(fields map[string]any) {
		if fields["msg"] != messageEnded {
			return
		}
		if ended := endedOf(fields); filter.allows(ended) {
			found = append(found, ended)
		}
	})
	return found, err
}

func endedOf(fields map[string]any) Ended {
	field := func(name string) string {
		if fields[name] == nil {
			return ""
		}
		return text(fields[name])
	}
	ended := Ended{
		Time: field("time"), Request: field("request"), Service: field("service"), Route: field("route"),
		Outcome: field("outcome"), Status: field("status"), Reason: field("reason"), Detail: field("detail"),
		Revision: field("revision"),
	}
	ended.TookMillis, _ = fields["tookMillis"].(float64)
	servers, _ := fields["servers"].([]any)
	for _, server := range servers {
		ended.Servers = append(ended.Servers, text(server))
	}
	return ended
}

// WriteEnded writes a line for each request.
func WriteEnded(out io.Writer, found []Ended) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tREQUEST\tSERVICE\tROUTE\tOUTCOME\tSTATUS\tREASON\tMS\tREVISION\tSERVERS\tDETAIL")
	for _, e := range found {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\n", e.Time, e.Request, e.Service, e.Route,
			e.Outcome, e.Status, e.Reason, e.TookMillis, e.Revision, strings.Join(e.Servers, ","), e.Detail)
	}
	return table.Flush()
}

// WriteCounts writes how many requests ended how, the most frequent first.
func WriteCounts(out io.Writer, found []Ended) error {
	type kind struct{ service, outcome, status, reason string }
	counts := make(map[kind]int)
	for _, e := range found {
		counts[kind{e.Service, e.Outcome, e.Status, e.Reason}]++
	}
	kinds := make([]kind, 0, len(counts))
	for one := range counts {
		kinds = append(kinds, one)
	}
	slices.SortFunc(kinds, func(a, b kind) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUESTS\tSERVICE\tOUTCOME\tSTATUS\tREASON")
	for _, one := range kinds {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", counts[one], one.service, one.outcome, one.status, one.reason)
	}
	return table.Flush()
}
