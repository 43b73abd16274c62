package httpjson

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream/upstreamtest"
)

// Guards against an answer of a service or an instance that is none and is decoded.
func TestBrokenAnswersAreNone(t *testing.T) {
	for name, head := range upstreamtest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			c := New("")
			defer c.Close()
			address := upstreamtest.Serve(t, head+"\r\n{}", upstreamtest.Close)
			var got map[string]any
			if status, raw, err := c.Do(t.Context(), http.MethodPost, "http://"+address+"/", nil, &got); !errors.Is(err, ErrNoAnswer) {
				t.Errorf("status %d, %q, %v", status, raw, err)
			}
		})
	}
}

// Guards against a part of an answer that passes as whole, since its connection was reset while a large request was written.
func TestUnframedAnswerThatIsResetIsNone(t *testing.T) {
	for range 30 {
		c := New("")
		address := upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{}", upstreamtest.Reset)
		status, raw, err := c.Do(t.Context(), http.MethodPost, "http://"+address+"/", strings.Repeat("x", 3<<20), nil)
		c.Close()
		if !errors.Is(err, ErrNoAnswer) {
			t.Fatalf("status %d, %q, %v", status, raw, err)
		}
	}
}

// Guards against a request without its token or body, and a refusal whose body is lost.
func TestRequestsAndAnswersAreWhole(t *testing.T) {
	address := upstreamtest.Handle(t, func(w http.ResponseWriter, r *http.Request) {
		var got string
		if json.NewDecoder(r.Body).Decode(&got) != nil || got != "body" || r.Header.Get("Authorization") != "Bearer token" || r.Header.Get("Content-Type") != "application/json" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Query().Get("refuse") != "" {
			w.WriteHeader(http.StatusConflict)
		}
		w.Write([]byte(`{"a":1}`))
	})
	c := New("token")
	defer c.Close()
	for query, want := range map[string]int{"": http.StatusOK, "?refuse=1": http.StatusConflict} {
		var got struct{ A int }
		status, raw, err := c.Do(t.Context(), http.MethodPost, "http://"+address+"/"+query, "body", &got)
		if status != want || string(raw) != `{"a":1}` || err != nil || (got.A == 1) != (want == http.StatusOK) {
			t.Errorf("status %d, %q, %+v, %v", status, raw, got, err)
		}
	}
}
