package service

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream/upstreamtest"
)

// Guards against an answer of a plain backend server that is none and is passed on.
func TestBrokenAnswersAreLost(t *testing.T) {
	for name, head := range upstreamtest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			address := upstreamtest.Serve(t, head+"\r\n3\r\none\r\n0\r\n\r\n", upstreamtest.Close)
			if got, err := NewHTTP().Do(t.Context(), address, Call{Method: http.MethodPost, Path: "/x"}); !errors.Is(err, ErrLost) {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

// Guards against a part of an answer that passes as whole, since its connection was reset while a large call was written.
func TestUnframedAnswerThatIsResetIsLost(t *testing.T) {
	call := Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 3<<20)}
	for range 30 {
		address := upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\nbegin", upstreamtest.Reset)
		if got, err := NewHTTP().Do(t.Context(), address, call); !errors.Is(err, ErrLost) {
			t.Fatalf("%+v, %v", got, err)
		}
	}
}

// Guards against calls that lose a part of what they are to send, and answers that lose a part of what they have.
func TestCallsAndAnswersArePassedOnWhole(t *testing.T) {
	requests := make(chan *http.Request, 1)
	address := upstreamtest.Handle(t, func(w http.ResponseWriter, r *http.Request) {
		requests <- r
		w.Header().Add("X-Two", "a")
		w.Header().Add("X-Two", "b")
		w.WriteHeader(http.StatusTeapot)
		w.Write([]byte("answer"))
	})
	call := Call{Method: http.MethodPut, Path: "/x%2Fy//z?q=1&q=2", Headers: []Header{{"X-One", "a"}, {"X-One", "b"}, {"Host", "h"}}, Body: []byte("body")}
	got, err := NewHTTP().Do(t.Context(), address, call)
	if err != nil {
		t.Fatal(err)
	}
	r := <-requests
	if r.Method != call.Method || r.RequestURI != call.Path || r.Host != "h" || strings.Join(r.Header["X-One"], "") != "ab" || r.ContentLength != 4 || !r.Close || r.UserAgent() != "" {
		t.Errorf("the server got %+v", r)
	}
	var two []string
	for _, header := range got.Headers {
		if header.Name == "X-Two" {
			two = append(two, header.Value)
		}
	}
	if got.Status != http.StatusTeapot || string(got.Body) != "answer" || strings.Join(two, "") != "ab" {
		t.Errorf("%+v", got)
	}
}

// Guards against a refusal, or a call that was not sent, that counts as a call that may have run.
func TestCallsThatDidNotRunAreKnown(t *testing.T) {
	refusal := upstreamtest.Serve(t, "HTTP/1.1 503 No\r\n"+HeaderOutcome+": "+outcomeNotRun+"\r\nContent-Length: 0\r\n\r\n", upstreamtest.Close)
	if _, err := NewHTTP().Do(t.Context(), refusal, Call{Method: http.MethodGet, Path: "/"}); !errors.Is(err, ErrNotRun) {
		t.Error(err)
	}
	if _, err := NewHTTP().Do(t.Context(), "127.0.0.1:1", Call{Method: http.MethodGet, Path: "/"}); !errors.Is(err, ErrUnreachable) {
		t.Error(err)
	}
	if _, err := NewHTTP().Do(t.Context(), "127.0.0.1:1", Call{Method: http.MethodGet, Path: "/\x01"}); !errors.Is(err, ErrNotRun) {
		t.Error(err)
	}
}

// Guards against an answer without an end that is held in memory.
func TestAnswerThatIsTooLongIsLost(t *testing.T) {
	address := upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", maxAnswerBytes+1), upstreamtest.Close)
	if got, err := NewHTTP().Do(t.Context(), address, Call{Method: http.MethodGet, Path: "/"}); !errors.Is(err, ErrLost) {
		t.Errorf("%d bytes, %v", len(got.Body), err)
	}
}
