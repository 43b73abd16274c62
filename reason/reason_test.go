package reason

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The operators' page must list exactly the reasons in All.
func TestOperatorsPageListsAllReasons(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Reasons\n\nEach is counted in `mastwheel_refusals_total`, `mastwheel_retries_total` or\n")
	page.WriteString("`mastwheel_dropped_answers_total` under the label `reason`.\n\n")
	page.WriteString("| reason | meaning | governed by |\n|---|---|---|\n")
	for _, info := range All {
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", info.Reason, info.Meaning, info.GovernedBy)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs/operators"), goldie.WithNameSuffix(".md")).
		Assert(t, "reasons", []byte(page.String()))
}

// Every reason constant must be in All exactly once.
func TestAllContainsEveryReasonOnce(t *testing.T) {
	listed := make(map[Reason]int)
	for _, info := range All {
		listed[info.Reason]++
	}
	source, err := os.ReadFile("reason.go")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", source, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		value, err := strconv.Unquote(literal.Value)
		if err != nil || value == "" {
			return true
		}
		constants++
		if listed[Reason(value)] != 1 {
			t.Errorf("reason %q is listed %d times in All", value, listed[Reason(value)])
		}
		return true
	})
	if constants != len(All) {
		t.Errorf("%d reasons in the code, %d in All", constants, len(All))
	}
}
