package explain

import (
	"strings"
	"testing"
)

const log = `front-1 {"time":"x","msg":"Request ended","request":"a1","outcome":"not_run","status":503,"reason":"no_decode_memory","servers":null,"tookMillis":12}
{"time":"x","msg":"Decided","request":"a1","step":"choose","outcome":"none","atMillis":3,"candidates":"s1:refusing"}
{"time":"x","msg":"Decided","request":"a12","step":"choose","outcome":"s2","atMillis":1}
{"time":"x","msg":"Decided","request":"a1","step":"estimate","outcome":"9000","atMillis":0,"hint":4000}
this is no line of ours about a1 {
`

func TestWriteLinesOfRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "a1")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Write(&out, "a1", lines); err != nil {
		t.Fatal(err)
	}
	const want = `     0 ms  estimate  9000
                     hint = 4000
     3 ms  choose    none
                     candidates = s1:refusing
    12 ms  ended     not_run
                     reason = no_decode_memory
                     servers = none
                     status = 503
`
	if out.String() != want {
		t.Fatalf("got\n%s", out.String())
	}
}

func TestWriteFailsForUnloggedRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log), "b7")
	if err != nil {
		t.Fatal(err)
	}
	if Write(&strings.Builder{}, "b7", lines) == nil {
		t.Fatal("Write returned no error without a line about the request")
	}
}
