package compare

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trial"
)

var write = flag.Bool("write", false, "measure everything and write docs/design/placement")

// run plays a case on the virtual clock.
func run(t *testing.T, c Case) Result {
	t.Helper()
	var result Result
	synctest.Test(t, func(*testing.T) {
		result = Run(c)
		time.Sleep(2 * time.Minute)
	})
	return result
}

// At a load of 1.1, the default policy wastes at most 1% of the prefill. Every
// baseline wastes at least ten times as much as it, and no baseline has a higher
// goodput (the fraction of requests done within their latency targets) by more than
// 0.01. The long runs of TestWrite show the same.
func TestPlacementAtFullLoad(t *testing.T) {
	base := Case{Deployment: trial.Deployments["cooperativa"], Instances: 3, Load: 1.1, Duration: 15 * time.Second, Seed: 1}
	base.Policy = route.DefaultPolicy()
	ours := run(t, base)
	if ours.WastedPrefill > 0.01 {
		t.Errorf("wasted %.4f of the prefill", ours.WastedPrefill)
	}
	for _, policy := range route.Baselines() {
		base.Policy = policy
		theirs := run(t, base)
		if theirs.Goodput > ours.Goodput+0.01 {
			t.Errorf("%s has goodput %.3f, over %.3f", policy.Name, theirs.Goodput, ours.Goodput)
		}
		if theirs.WastedPrefill < 10*ours.WastedPrefill {
			t.Errorf("%s wastes %.4f, less than ten times %.4f", policy.Name, theirs.WastedPrefill, ours.WastedPrefill)
		}
	}
}

// A team that sends most of the requests does not push the goodput of the other
// teams below 0.9, with one instance or with eight.
func TestFloodingTeam(t *testing.T) {
	for _, instances := range []int{1, 8} {
		r := run(t, Case{
			Deployment: trial.Deployments["cooperativa"], Instances: instances, Load: 1.3, Duration: 15 * time.Second,
			Seed: 1, Policy: route.DefaultPolicy(), Flood: 0.6,
		})
		for team, goodput := range r.Teams {
			if team != "counter" && goodput < 0.9 {
				t.Errorf("%d instances: team %s has goodput %.3f beside a flood", instances, team, goodput)
			}
		}
	}
}

// After an outage of all engines for ten seconds, the goodput recovers within
// five seconds.
func TestRecoveryFromFullOutage(t *testing.T) {
	outage := Outages()[2]
	r := run(t, Case{
		Deployment: trial.Deployments["cooperativa"], Instances: 3, Load: 1.0, Duration: 40 * time.Second, Seed: 1,
		Policy: route.DefaultPolicy(), Outage: outage,
	})
	if r.Recovery > 5*time.Second {
		t.Errorf("took %s to recover (before %.3f, after %.3f)", r.Recovery, r.Before, r.After)
	}
}

var (
	writeLoads     = []float64{0.5, 0.7, 0.9, 1.0, 1.1, 1.3}
	writeInstances = []int{1, 3, 8}
	writeSeeds     = []uint64{1, 2}
)

const writeDuration = 30 * time.Second

// figures collects results by case.
type figures struct {
	mu      sync.Mutex
	results map[string]Result
}

func key(deployment string, instances int, load float64, policy string) string {
	return fmt.Sprintf("%s/%d/%.1f/%s", deployment, instances, load, policy)
}

// TestWrite measures all cases and writes the tables and plots. It runs only
// with the flag -write: go test ./compare -run TestWrite -write -timeout 60m
func TestWrite(t *testing.T) {
	if !*write {
		t.Skip("run with -write")
	}
	f := &figures{results: make(map[string]Result)}
	t.Run("measure", func(t *testing.T) {
		for _, deployment := range []string{"cooperativa", "camara"} {
			for _, instances := range writeInstances {
				for _, load := range writeLoads {
					t.Run(fmt.Sprint(deployment, instances, load), func(t *testing.T) {
						t.Parallel()
						f.measure(t, deployment, instances, load)
					})
				}
			}
		}
	})
	var page strings.Builder
	page.WriteString("# Placement: figures\n\nMade by `go test ./compare -run TestWrite -write -timeout 60m`: 30 s of arrivals at each\n")
	page.WriteString("load, the mean of seeds 1 and 2. Load 1.0 is the rate at which decode memory, or prefill if\n")
	page.WriteString("that is first, is fully used with no help from prefix caches. The bound is what an all-knowing\n")
	page.WriteString("placer could do on the same arrivals: the cheapest first, work cut up and moved at will.\n")
	for _, deployment := range []string{"cooperativa", "camara"} {
		f.tables(&page, deployment)
		f.plot(t, deployment, "goodput", func(r Result) float64 { return r.Goodput })
		f.plot(t, deployment, "waste", func(r Result) float64 { return r.WastedPrefill })
	}
	writeOutages(t, &page)
	writeFloods(t, &page)
	save(t, "figures.md", page.String())
}

func (f *figures) measure(t *testing.T, deployment string, instances int, load float64) {
	for _, policy := range append([]route.Policy{route.DefaultPolicy()}, route.Baselines()...) {
		var mean Result
		for _, seed := range writeSeeds {
			r := run(t, Case{
				Deployment: trial.Deployments[deployment], Instances: instances, Load: load, Duration: writeDuration,
				Seed: seed, Policy: policy,
			})
			mean = addMean(mean, r, float64(len(writeSeeds)))
		}
		f.mu.Lock()
		f.results[key(deployment, instances, load, policy.Name)] = mean
		f.mu.Unlock()
	}
}

func addMean(mean, r Result, n float64) Result {
	mean.Goodput += r.Goodput / n
	mean.WastedPrefill += r.WastedPrefill / n
	mean.Bound += r.Bound / n
	mean.FirstTokenP95 += r.FirstTokenP95 / time.Duration(n)
	mean.BetweenP95 += r.BetweenP95 / time.Duration(n)
	if mean.Reasons == nil {
		mean.Reasons = make(map[reason.Reason]int)
	}
	for why, count := range r.Reasons {
		mean.Reasons[why] += count
	}
	return mean
}

func policyNames() []string {
	names := []string{route.DefaultPolicy().Name}
	for _, policy := range route.Baselines() {
		names = append(names, policy.Name)
	}
	return names
}

func (f *figures) tables(page *strings.Builder, deployment string) {
	d := trial.Deployments[deployment]
	fmt.Fprintf(page, "\n## %s\n\nCapacity %.1f model requests a second.\n\n", deployment, Capacity(d))
	fmt.Fprintf(page, "![goodput](%s-goodput.svg) ![waste](%s-waste.svg)\n", deployment, deployment)
	for _, instances := range writeInstances {
		fmt.Fprintf(page, "\nInstances: %d. Goodput / wasted prefill / p95 first token, ms / p95 between tokens, ms.\n\n| load |", instances)
		for _, name := range policyNames() {
			fmt.Fprintf(page, " %s |", name)
		}
		page.WriteString(" bound |\n|---|")
		page.WriteString(strings.Repeat("---|", len(policyNames())+1) + "\n")
		for _, load := range writeLoads {
			fmt.Fprintf(page, "| %.1f |", load)
			for _, name := range policyNames() {
				r := f.results[key(deployment, instances, load, name)]
				fmt.Fprintf(page, " %.3f / %.2f%% / %d / %d |", r.Goodput, 100*r.WastedPrefill, r.FirstTokenP95.Milliseconds(), r.BetweenP95.Milliseconds())
			}
			fmt.Fprintf(page, " %.3f |\n", f.results[key(deployment, instances, load, policyNames()[0])].Bound)
		}
	}
	page.WriteString("\nmastwheel's refusals at 1.3, both seeds: ")
	fmt.Fprintf(page, "%v\n", f.results[key(deployment, 3, 1.3, policyNames()[0])].Reasons)
}

func (f *figures) plot(t *testing.T, deployment, what string, value func(Result) float64) {
	p := plot.New()
	p.Title.Text = deployment + ", 3 instances: " + what
	p.X.Label.Text = "offered load, multiple of capacity"
	p.Y.Label.Text = what
	p.Legend.Top = what == "waste"
	p.Legend.Left = true
	var lines []any
	for _, name := range policyNames() {
		points := make(plotter.XYs, len(writeLoads))
		for i, load := range writeLoads {
			points[i] = plotter.XY{X: load, Y: value(f.results[key(deployment, 3, load, name)])}
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(directory(t), deployment+"-"+what+".svg")); err != nil {
		t.Fatal(err)
	}
}

func writeOutages(t *testing.T, page *strings.Builder) {
	page.WriteString("\n## Outages\n\ncooperativa, 3 instances, load 0.9, seed 1; ten seconds from the tenth of forty. Recovery: seconds after its end\n")
	page.WriteString("until a second's arrivals did 95% as well as before.\n\n| outage | policy | before | during | after | recovery, s |\n|---|---|---|---|---|---|\n")
	for _, outage := range Outages() {
		for _, policy := range []route.Policy{route.DefaultPolicy(), route.Baselines()[3]} {
			r := run(t, Case{
				Deployment: trial.Deployments["cooperativa"], Instances: 3, Load: 0.9, Duration: 40 * time.Second, Seed: 1,
				Policy: policy, Outage: outage,
			})
			fmt.Fprintf(page, "| %s | %s | %.3f | %.3f | %.3f | %.0f |\n", outage.Name, policy.Name, r.Before, r.During, r.After, r.Recovery.Seconds())
		}
	}
}

func writeFloods(t *testing.T, page *strings.Builder) {
	page.WriteString("\n## One team floods\n\ncooperativa, team counter sends 73% of all, the two others 13% each, equal shares; seed 1.\n\n")
	page.WriteString("| load | instances | policy | goodput | counter | dealer | notary |\n|---|---|---|---|---|---|---|\n")
	for _, load := range []float64{1.0, 1.3, 1.6} {
		for _, instances := range []int{1, 8} {
			for _, policy := range []route.Policy{route.DefaultPolicy(), route.Baselines()[3]} {
				r := run(t, Case{
					Deployment: trial.Deployments["cooperativa"], Instances: instances, Load: load, Duration: writeDuration,
					Seed: 1, Policy: policy, Flood: 0.6,
				})
				fmt.Fprintf(page, "| %.1f | %d | %s | %.3f | %.3f | %.3f | %.3f |\n", load, instances, policy.Name,
					r.Goodput, r.Teams["counter"], r.Teams["dealer"], r.Teams["notary"])
			}
		}
	}
}

func directory(t *testing.T) string {
	path := filepath.Join("..", "docs", "design", "placement")
	if err := os.MkdirAll(path, 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

func save(t *testing.T, name, content string) {
	if err := os.WriteFile(filepath.Join(directory(t), name), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}
