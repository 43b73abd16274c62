package explain

import (
	"strings"
	"testing"
)

const ended = `front-1 {"time":"t1","msg":"Request ended","request":"a1","service":"llm","route":"r","outcome":"not_run","status":503,"reason":"no_decode_memory","servers":null,"tookMillis":12,"revision":4}
{"time":"t2","msg":"Decided","request":"a1","step":"choose","outcome":"none","atMillis":3}
{"time":"t3","msg":"Request ended","request":"b2","service":"web","route":"s","outcome":"unknown","status":502,"reason":"answer_lost","servers":["s1","s2"],"tookMillis":40.6,"revision":5,"detail":"reset"}
{"time":"t4","msg":"Request ended","request":"c3","service":"web","route":"s","outcome":"done","status":200,"reason":"","servers":["s2"],"tookMillis":7,"revision":5}
{"time":"t5","msg":"Request ended","request":"d4","service":"web","outcome":"done","status":200,"reason":"","servers":["s2"],"tookMillis":8,"revision":5}
{"time":"t6","msg":"Table in force","note":"Request ended"}
{"msg":"Request ended" broken
`

func TestSearchByFilter(t *testing.T) {
	for _, one := range []struct {
		filter Filter
		want   string
	}{
		{Filter{}, "a1 b2 c3 d4"},
		{Filter{Reason: "answer_lost"}, "b2"},
		{Filter{Outcome: "done"}, "c3 d4"},
		{Filter{Service: "llm"}, "a1"},
		{Filter{Route: "s"}, "b2 c3"},
		{Filter{Server: "s2"}, "b2 c3 d4"},
		{Filter{Server: "s1", Outcome: "done"}, ""},
		{Filter{Revision: "4"}, "a1"},
	} {
		found, err := Search(strings.NewReader(ended), one.filter)
		if err != nil {
			t.Fatal(err)
		}
		var ids []string
		for _, e := range found {
			ids = append(ids, e.Request)
		}
		if got := strings.Join(ids, " "); got != one.want {
			t.Errorf("%+v: found %q, want %q", one.filter, got, one.want)
		}
	}
}

func TestSearchByServerOrRun(t *testing.T) {
	const log = `{"msg":"Request ended","request":"a1","servers":["s1@k3"]}
{"msg":"Request ended","request":"b2","servers":["s1@k9","s2"]}
{"msg":"Request ended","request":"c3","servers":["s11@k3"]}
`
	for server, want := range map[string]int{"s1": 2, "s1@k3": 1, "s2": 1, "k3": 0} {
		if found, err := Search(strings.NewReader(log), Filter{Server: server}); err != nil || len(found) != want {
			t.Errorf("%s: %d requests, want %d (error %v)", server, len(found), want, err)
		}
	}
}

func TestWriteEndedAndCounts(t *testing.T) {
	found, err := Search(strings.NewReader(ended), Filter{Service: "web"})
	if err != nil {
		t.Fatal(err)
	}
	var lines, counts strings.Builder
	if err := WriteEnded(&lines, found); err != nil {
		t.Fatal(err)
	}
	if err := WriteCounts(&counts, found); err != nil {
		t.Fatal(err)
	}
	const wantLines = `TIME  REQUEST  SERVICE  ROUTE  OUTCOME  STATUS  REASON       MS  REVISION  SERVERS  DETAIL
t3    b2       web      s      unknown  502     answer_lost  41  5         s1,s2    reset
t4    c3       web      s      done     200                  7   5         s2       
t5    d4       web             done     200                  8   5         s2       
`
	if lines.String() != wantLines {
		t.Errorf("lines:\n%s", lines.String())
	}
	const wantCounts = `REQUESTS  SERVICE  OUTCOME  STATUS  REASON
2         web      done     200     
1         web      unknown  502     answer_lost
`
	if counts.String() != wantCounts {
		t.Errorf("counts:\n%s", counts.String())
	}
}
