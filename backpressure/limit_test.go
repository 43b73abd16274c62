package backpressure

import (
	"testing"
	"time"
)

// named is an answer that names a limit, and silent one that names none.
func named(rate float64) Statement { return Statement{Kind: Plain, Limited: true, Limit: rate} }

var silent = Statement{Kind: Plain}

func TestALimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	for name, test := range map[string]struct {
		said       Statement
		sent       int
		stillNamed bool
	}{
		"a later answer":                       {silent, 20, false},
		"an answer to a call sent before":      {silent, 5, true},
		"a refusal":                            {Statement{Kind: Plain, Refused: true}, 20, true},
		"an answer to another kind of call":    {Statement{Kind: Reserve}, 20, true},
		"an answer that names it again":        {named(5), 20, true},
		"an answer that names another, sent 5": {named(7), 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := New().Server("s", start)
			server.Heard(named(5), at(0), at(10))
			server.Heard(test.said, at(test.sent), at(30))
			if _, limited := server.Limit(); limited != test.stillNamed {
				t.Errorf("limited: %t", limited)
			}
		})
	}
}

func TestChangesAreToldOnce(t *testing.T) {
	tracker, start := New(), time.Now()
	var told []Change
	tracker.OnChange(func(change Change) { told = append(told, change) })
	server := tracker.Server("s", start)
	for i, said := range []Statement{silent, named(5), named(5.1), named(5), named(9), silent, silent} {
		server.Heard(said, start.Add(time.Duration(2*i)*time.Second), start.Add(time.Duration(2*i+1)*time.Second))
	}
	if len(told) != 3 || told[0].Now != "limited to 5/s" || told[2].Now != "not limited" {
		t.Errorf("%+v", told)
	}
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	tracker, start := New(), time.Now()
	tracker.Server("s", start).Heard(named(5), start, start)
	nobody := func(string) bool { return false }
	tracker.Keep(nobody, start.Add(time.Minute))
	if tracker.Limited() != 1 {
		t.Error("forgotten while its entry may come back")
	}
	tracker.Keep(nobody, start.Add(3*time.Minute))
	if tracker.Limited() != 0 {
		t.Error("still known")
	}
}
