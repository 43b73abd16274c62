// Package client is the caller's side: it asks which address to use, keeps
// the answer for its stated time, connects there and reads the answer. The
// operators' program and the load tool use it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
)

// ErrNoInstance means that none of the known addresses answered.
var ErrNoInstance = errors.New("no instance answered")

// maxAnswer bounds what is read of one whole answer, in bytes.
const maxAnswer = 16 << 20

// Client is one caller. Safe for concurrent use.
type Client struct {
	// Addresses returns instances to ask which address to use.
	Addresses func() []string
	// Zone is the caller's availability zone; may be empty.
	Zone string
	http *http.Client

	mu    sync.Mutex
	entry instance.Entry
	until time.Time
	// avoid names the instance that could not be reached last.
	avoid string
}

// New returns a caller that knows some instances' addresses.
func New(addresses []string, zone string) *Client {
	return NewWith(func() []string { return addresses }, zone)
}

// NewWith returns a caller whose known addresses may change.
func NewWith(addresses func() []string, zone string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{Addresses: addresses, Zone: zone, http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entry returns the address to use: the kept answer, or a new one.
func (c *Client) Entry(ctx context.Context) (instance.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.entry, nil
	}
	addresses := c.Addresses()
	for _, n := range rand.Perm(len(addresses)) {
		entry, err := c.ask(ctx, addresses[n])
		if err != nil {
			continue
		}
		c.entry = entry
		c.until = time.Now().Add(time.Duration(entry.KeepSeconds) * time.Second)
		return entry, nil
	}
	return instance.Entry{}, ErrNoInstance
}

// forget drops the kept answer after a connection to it failed.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
	c.avoid = c.entry.Instance
}

const askTimeout = time.Second

func (c *Client) ask(ctx context.Context, address string) (instance.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var entry instance.Entry
	err := c.getJSON(ctx, "http://"+address+caller.PathEntry+"?zone="+c.Zone+"&avoid="+c.avoid, &entry)
	return entry, err
}

func (c *Client) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask instance")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ask instance: status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(into), "read answer")
}

// Result is what a caller learned of one request.
type Result struct {
	RequestID string
	Outcome   reason.Outcome
	Reason    reason.Reason
	Status    int
	// RetryAfter is when the instance said to come back.
	RetryAfter time.Duration
	Text       string
	Tokens     int
	// FirstToken is the time to the first token, Between the mean time between
	// tokens.
	FirstToken time.Duration
	Between    time.Duration
	Took       time.Duration
}

// Completion asks a model to go on from a prompt.
type Completion struct {
	Model     string
	Prompt    string
	MaxTokens int
	Team      string
	// OnToken, if not nil, sees each token as it arrives.
	OnToken func(text string)
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete streams a completion. What went wrong is in the result's outcome;
// a connection that was lost is unknown.
func (c *Client) Complete(ctx context.Context, ask Completion) Result {
	body, err := json.Marshal(completionBody{ask.Model, ask.Prompt, ask.MaxTokens, true})
	if err != nil {
		panic("client: request cannot be encoded: " + err.Error())
	}
	headers := map[string]string{"Content-Type": "application/json", caller.HeaderTeam: ask.Team}
	started := time.Now()
	var response *http.Response
	for range maxDials {
		entry, entryErr := c.Entry(ctx)
		if entryErr != nil {
			return Result{Outcome: reason.NotRun, Reason: reason.ConnectFailed}
		}
		response, err = c.post(ctx, http.MethodPost, "http://"+entry.Address+caller.PathCompletions, body, headers)
		if err == nil || !isDialError(err) {
			break
		}
		c.forget()
	}
	if err != nil {
		return c.lost(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return readStream(ctx, response, started, ask.OnToken)
}

// maxDials is how many addresses are tried before a request counts as not
// run. Only a connection that was never made is followed by another.
const maxDials = 3

// isDialError says whether no connection was made, so that no byte was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) post(ctx context.Context, method, url string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// The standard client would repeat a request by itself if it could read
	// the body again.
	request.GetBody = nil
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return c.http.Do(request)
}

func (c *Client) lost(ctx context.Context, err error) Result {
	c.forget()
	if isDialError(err) {
		return Result{Outcome: reason.NotRun, Reason: reason.ConnectFailed, Text: err.Error()}
	}
	why := reason.AnswerLost
	if ctx.Err() != nil {
		why = reason.CallerGone
	}
	return Result{Outcome: reason.Unknown, Reason: why, Text: err.Error()}
}

// refusal reads an answer other than 200.
func refusal(response *http.Response) Result {
	result := headerResult(response)
	io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

func headerResult(response *http.Response) Result {
	return Result{
		RequestID: response.Header.Get(caller.HeaderRequestID),
		Outcome:   reason.Outcome(response.Header.Get(caller.HeaderOutcome)),
		Reason:    reason.Reason(response.Header.Get(caller.HeaderReason)),
		Status:    response.StatusCode,
	}
}

// streamEvent is the part of an event that matters to the caller.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Outcome reason.Outcome `json:"outcome"`
	Error   *struct {
		Code    reason.Reason  `json:"code"`
		Outcome reason.Outcome `json:"outcome"`
	} `json:"error"`
}

func readStream(ctx context.Context, response *http.Response, started time.Time, onToken func(string)) Result {
	result := headerResult(response)
	result.Outcome = reason.Unknown
	result.Reason = reason.AnswerLost
	reader := bufio.NewReader(response.Body)
	var text bytes.Buffer
	var first, last time.Time
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			break
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == "[DONE]" {
			break
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			break
		}
		if event.Error != nil {
			result.Outcome, result.Reason = event.Error.Outcome, event.Error.Code
			break
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
			result.Tokens++
			last = time.Now()
			if first.IsZero() {
				first = last
			}
			if onToken != nil {
				onToken(choice.Text)
			}
		}
		if event.Outcome != "" {
			result.Outcome, result.Reason = event.Outcome, reason.None
		}
	}
	if ctx.Err() != nil && result.Outcome != reason.Done {
		result.Reason = reason.CallerGone
	}
	result.Text = text.String()
	result.Took = time.Since(started)
	result.FirstToken = first.Sub(started)
	if result.Tokens > 1 {
		result.Between = last.Sub(first) / time.Duration(result.Tokens-1)
	}
	return result
}

// Call is one call to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string
	Body    []byte
	Team    string
	// Once makes the call carry an operation id, so that its outcome can be
	// asked for when the instance is lost.
	Once bool
}

// CallResult is what a caller learned of one plain call.
type CallResult struct {
	Result
	// Operation is the id that the call carried; empty with none.
	Operation string
}

// Do sends a plain call. When the answer of a call with an operation id is
// lost, it asks the witness for the outcome.
func (c *Client) Do(ctx context.Context, call Call) CallResult {
	var result CallResult
	for range maxDials {
		var dialled bool
		if result, dialled = c.doOnce(ctx, call); dialled {
			break
		}
		c.forget()
	}
	return result
}

// doOnce sends a plain call to the address in use. dialled is false when no
// connection was made.
func (c *Client) doOnce(ctx context.Context, call Call) (result CallResult, dialled bool) {
	entry, err := c.Entry(ctx)
	if err != nil {
		return CallResult{Result: Result{Outcome: reason.NotRun, Reason: reason.ConnectFailed}}, true
	}
	if call.Once && entry.Operation != nil {
		result.Operation = entry.Operation.Prefix + newNonce()
	}
	url := "http://" + entry.Address + caller.PathServices + call.Service + call.Path
	headers := map[string]string{caller.HeaderIdempotency: result.Operation, caller.HeaderTeam: call.Team}
	started := time.Now()
	response, err := c.post(ctx, call.Method, url, call.Body, headers)
	if err != nil {
		result.Result = c.lost(ctx, err)
		if result.Operation != "" && !isDialError(err) {
			c.settle(ctx, entry, &result)
		}
		return result, !isDialError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	result.Result = headerResult(response)
	result.Text = string(body)
	result.Took = time.Since(started)
	if err != nil {
		result.Result = c.lost(ctx, err)
	}
	return result, true
}

const (
	// settleTries and settlePause bound how long a caller asks for the outcome
	// of a call that is still running.
	settleTries = 20
	settlePause = 250 * time.Millisecond
)

// settle asks what became of a call until that is decided.
func (c *Client) settle(ctx context.Context, entry instance.Entry, result *CallResult) {
	for range settleTries {
		status, err := c.askAround(ctx, entry, result.Operation)
		if err != nil {
			return
		}
		result.Outcome = status.Outcome
		if !status.Running {
			result.Reason = status.Reason
			return
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			return
		}
	}
}

// askAround asks the witness, and then any instance, what became of a call.
func (c *Client) askAround(ctx context.Context, entry instance.Entry, id string) (operation.Status, error) {
	addresses := append([]string{entry.Operation.Witness}, c.Addresses()...)
	for _, address := range addresses {
		if status, err := c.AskOperation(ctx, address, id); err == nil {
			return status, nil
		}
	}
	return operation.Status{}, ErrNoInstance
}

// AskOperation asks an instance what became of an operation.
func (c *Client) AskOperation(ctx context.Context, address, id string) (operation.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var status operation.Status
	err := c.getJSON(ctx, "http://"+address+caller.PathOperations+id, &status)
	return status, err
}

// newNonce makes the caller's part of an operation id.
func newNonce() string {
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}
