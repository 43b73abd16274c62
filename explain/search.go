package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/mastwheel/mastwheel/registry"
)

// Ended is the log line about the end of a request.
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
	// Servers are the servers that the request was sent to, in order.
	Servers []string
	// Revision is the revision of the table that was used for the request.
	Revision   string
	TookMillis float64
}

// Filter selects requests. An empty field matches every request.
type Filter struct {
	Reason   string
	Outcome  string
	Service  string
	Route    string
	Server   string
	Revision string
}

// matches reports whether the filter selects a request.
func (f Filter) matches(e Ended) bool {
	matchesField := func(wanted, got string) bool { return wanted == "" || wanted == got }
	return matchesField(f.Reason, e.Reason) && matchesField(f.Outcome, e.Outcome) && matchesField(f.Service, e.Service) &&
		matchesField(f.Route, e.Route) && matchesField(f.Revision, e.Revision) &&
		(f.Server == "" || slices.ContainsFunc(e.Servers, f.matchesServer))
}

// matchesServer reports whether a name is that of the server in the filter or
// of one run of its process.
func (f Filter) matchesServer(name string) bool {
	id, _, _ := strings.Cut(name, registry.RunSeparator)
	return name == f.Server || id == f.Server
}

// messageEnded is the message of the log lines about the end of a request.
const messageEnded = "Request ended"

// Search returns the requests that the filter selects, in the order of the log.
func Search(log io.Reader, filter Filter) ([]Ended, error) {
	var found []Ended
	err := scan(log, messageEnded, func(fields map[string]any) {
		if fields["msg"] != messageEnded {
			return
		}
		if ended := newEnded(fields); filter.matches(ended) {
			found = append(found, ended)
		}
	})
	return found, err
}

func newEnded(fields map[string]any) Ended {
	field := func(name string) string {
		if fields[name] == nil {
			return ""
		}
		return formatValue(fields[name])
	}
	ended := Ended{
		Time: field("time"), Request: field("request"), Service: field("service"), Route: field("route"),
		Outcome: field("outcome"), Status: field("status"), Reason: field("reason"), Detail: field("detail"),
		Revision: field("revision"),
	}
	ended.TookMillis, _ = fields["tookMillis"].(float64)
	servers, _ := fields["servers"].([]any)
	for _, server := range servers {
		ended.Servers = append(ended.Servers, formatValue(server))
	}
	return ended
}

// WriteEnded prints one line for each request.
func WriteEnded(out io.Writer, found []Ended) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tREQUEST\tSERVICE\tROUTE\tOUTCOME\tSTATUS\tREASON\tMS\tREVISION\tSERVERS\tDETAIL")
	for _, e := range found {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\n", e.Time, e.Request, e.Service, e.Route,
			e.Outcome, e.Status, e.Reason, e.TookMillis, e.Revision, strings.Join(e.Servers, ","), e.Detail)
	}
	return table.Flush()
}

// WriteCounts prints the number of requests for each service, outcome, status
// and reason. The most frequent come first.
func WriteCounts(out io.Writer, found []Ended) error {
	type kind struct{ service, outcome, status, reason string }
	counts := make(map[kind]int)
	for _, e := range found {
		counts[kind{e.Service, e.Outcome, e.Status, e.Reason}]++
	}
	kinds := make([]kind, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUESTS\tSERVICE\tOUTCOME\tSTATUS\tREASON")
	for _, k := range kinds {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", counts[k], k.service, k.outcome, k.status, k.reason)
	}
	return table.Flush()
}
