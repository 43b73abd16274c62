package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"unicode"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// doText sends two requests to a server that answers the first one with text, and returns what the first gets. It checks that the
// second one gets its own answer.
func doText(t *testing.T, text string) (status int, body string, err error) {
	t.Helper()
	s := newScriptedServer(t, text, answerTo("a", "two"), answerTo("a", "two"))
	pool := s.pool()
	status, body, err = doFor(t, pool, "a")
	if next, got, failed := doFor(t, pool, "a"); next != http.StatusOK || got != "two" || failed != nil {
		t.Errorf("behind %q the next request got status %d, %q, %v", text, next, got, failed)
	}
	return status, body, err
}

// wantBroken checks that no answer is read from text.
func wantBroken(t *testing.T, text string) {
	t.Helper()
	if status, body, err := doText(t, text); !errors.Is(err, ErrBroken) {
		t.Errorf("%q: status %d, %q, %v", text, status, body, err)
	}
}

// Guards against a field that is passed on, or whose framing is not that of the body, because its name holds a byte that a name
// may not have (RFC 9112, section 5.1).
func TestHeadsWithABadNameAreBroken(t *testing.T) {
	for _, line := range []string{
		"X Y: z", "X-Y : z", "X-Y\t: z", ": z", "X-Y", "Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked",
		"Transfer-Encoding : chunked\r\nContent-Length: 12", "Connection : close", "Id : other", "X\rY: z",
	} {
		for _, before := range []string{"", "X: y\r\n", "Content-Length: 2\r\n"} {
			wantBroken(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+before+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\ncut")
			wantBroken(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+answerTo("a", "one")+"cut")
			wantBroken(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n"+line+"\r\n\r\n"+answerTo("a", "one")+"cut")
		}
	}
}

// Guards against a byte in a name that only one of the readers of a head refuses, and names that are refused although they are valid.
func TestNamesHaveTheBytesOfTokens(t *testing.T) {
	for b := range 256 {
		name := "X" + string([]byte{byte(b)}) + "Y"
		if b == ':' || b == '\n' {
			continue
		}
		text := "HTTP/1.1 200 OK\r\nId: a\r\n" + name + ": z\r\nContent-Length: 3\r\n\r\none"
		status, body, err := doText(t, text)
		if whole := status == http.StatusOK && body == "one" && err == nil; whole != httpguts.ValidHeaderFieldName(name) {
			t.Errorf("byte %#02x: status %d, %q, %v", b, status, body, err)
		}
	}
}

// Guards against a bad name behind the body, which ends the connection's framing as one in front of it does.
func TestTrailersWithABadNameAreBroken(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n%s\r\n\r\ncut"
	for _, line := range []string{"X Y: z", "X-Y : z", "Content-Length : 2", "X\x01Y: z"} {
		wantBroken(t, fmt.Sprintf(chunked, line))
		wantBroken(t, strings.Replace(fmt.Sprintf(chunked, line), "Id: a", "Id: other", 1)+answerTo("a", "one"))
	}
	if status, body, err := doText(t, fmt.Sprintf(chunked, "X-Y: z")); status != http.StatusOK || body != "one" || err != nil {
		t.Errorf("status %d, %q, %v", status, body, err)
	}
}

// Guards against an answer that is read by the rules of another version of the protocol than its own (RFC 9112, section 2.3).
func TestAnswersOfAnotherVersionAreBroken(t *testing.T) {
	const rest = " 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\none"
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.0", "HTTP/9.9", "http/1.1", "HTTP/1.10", "HTTP/1", "HTTP/11", "ICY"} {
		wantBroken(t, version+rest)
		wantBroken(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+version+rest)
		wantBroken(t, version+" 103 Early Hints\r\n\r\n"+answerTo("a", "one"))
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/1.2"} {
		if status, body, err := doText(t, version+rest); status != http.StatusOK || body != "one" || err != nil {
			t.Errorf("%s: status %d, %q, %v", version, status, body, err)
		}
	}
}

// Guards against a byte in a value that ends a line for the next reader of the answer, and values that are refused although they are
// valid (RFC 9110, section 5.5).
func TestValuesHaveNoControlBytes(t *testing.T) {
	for b := range 256 {
		if b == '\n' {
			continue
		}
		value := "x" + string([]byte{byte(b)}) + "y"
		for place, text := range map[string]string{
			"head":    "HTTP/1.1 200 OK\r\nId: a\r\nX: " + value + "\r\nContent-Length: 3\r\n\r\none",
			"folded":  "HTTP/1.1 200 OK\r\nId: a\r\nX: z\r\n " + value + "\r\nContent-Length: 3\r\n\r\none",
			"interim": "HTTP/1.1 103 Early Hints\r\nX: " + value + "\r\n\r\n" + answerTo("a", "one"),
			"trailer": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX: " + value + "\r\n\r\n",
			"reason":  "HTTP/1.1 200 " + value + "\r\nId: a\r\nContent-Length: 3\r\n\r\none",
			"stray":   "HTTP/1.1 200 OK\r\nId: other\r\nX: " + value + "\r\nContent-Length: 0\r\n\r\n" + answerTo("a", "one"),
		} {
			status, body, err := doText(t, text)
			if whole := status == http.StatusOK && body == "one" && err == nil; whole != httpguts.ValidHeaderFieldValue(value) {
				t.Errorf("%s, byte %#02x: status %d, %q, %v", place, b, status, body, err)
			}
		}
	}
}

// Guards against the frames of chunks that are taken for the body, in an answer of a version of the protocol without chunks (RFC 9112,
// section 6.1).
func TestAnswersWithChunksOfAVersionWithoutAreBroken(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding: chunked", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked\r\nContent-Length: 3"} {
		wantBroken(t, "HTTP/1.0 200 OK\r\nId: a\r\n"+field+"\r\n\r\n3\r\none\r\n0\r\n\r\ncut")
	}
}

// Guards against bytes of an answer that fill the log, or end a line of it, as part of the error that says what is wrong.
func TestErrorsDoNotQuoteAnswersAtLength(t *testing.T) {
	long := strings.Repeat("x\x01\x7f\xe4\r\t", 4000)
	for name, text := range map[string]string{
		"name":        "HTTP/1.1 200 OK\r\nX" + long + ": z\r\n\r\n",
		"no colon":    "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"value":       "HTTP/1.1 200 OK\r\nX: " + long + "\r\n\r\n",
		"status":      "HTTP/1.1 2" + long + "\r\n\r\n",
		"status line": "HTTP/1.1 200 " + long + "\r\n\r\n",
		"protocol":    long + "\r\n\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("9", 20000) + "\r\n\r\n",
		"encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("z", 20000) + "\r\n\r\n",
		"chunk":       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" + long + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := doFor(t, newScriptedServer(t, text).pool(), "a")
			if !errors.Is(err, ErrBroken) {
				t.Fatal(err)
			}
			if said := err.Error(); len(said) > 300 || strings.ContainsFunc(said, func(r rune) bool { return !unicode.IsPrint(r) }) {
				t.Errorf("%d bytes: %.300q", len(said), said)
			}
		})
	}
}
