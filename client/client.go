// Package client is a client for callers. It requests the address of the instance to
// connect to, keeps that answer for as long as the answer says, connects to the address and
// reads the answers to requests. The operator CLI and the load generator use it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/upstream"
)

// ErrNoInstance means that none of the known addresses answered.
var ErrNoInstance = errors.New("no instance answered")

const (
	// maxAnswerBytes bounds the size of one answer.
	maxAnswerBytes = 16 << 20
	// dialTimeout bounds the time to open a connection. Callers may be far from an instance.
	dialTimeout = 3 * time.Second
)

// Client is one caller. It is safe for concurrent use.
type Client struct {
	// Addresses returns the addresses of instances that can be queried for the address to
	// connect to.
	Addresses func() []string
	// Zone is the caller's availability zone. It may be empty.
	Zone      string
	transport *upstream.Transport

	mu           sync.Mutex
	entry        instance.Entry
	entryExpires time.Time
	// avoid names the instance that most recently could not be reached.
	avoid string
}

// New returns a Client that knows the addresses of some instances.
func New(addresses []string, zone string) *Client {
	return NewWithAddresses(func() []string { return addresses }, zone)
}

// NewWithAddresses returns a Client whose known addresses may change.
func NewWithAddresses(addresses func() []string, zone string) *Client {
	return &Client{Addresses: addresses, Zone: zone, transport: upstream.NewClientTransport(dialTimeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Entry returns the address of the instance to connect to. It queries an instance when the
// cached answer has expired.
func (c *Client) Entry(ctx context.Context) (instance.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.entryExpires) {
		return c.entry, nil
	}
	addresses := c.Addresses()
	for _, n := range rand.Perm(len(addresses)) {
		entry, err := c.fetchEntry(ctx, addresses[n])
		if err != nil {
			continue
		}
		c.entry = entry
		c.entryExpires = time.Now().Add(time.Duration(entry.KeepSeconds) * time.Second)
		return entry, nil
	}
	return instance.Entry{}, ErrNoInstance
}

// forgetEntry discards the cached entry after a connection to its address
// failed.
func (c *Client) forgetEntry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryExpires = time.Time{}
	c.avoid = c.entry.Instance
}

const queryTimeout = time.Second

func (c *Client) fetchEntry(ctx context.Context, address string) (instance.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "query instance")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("query instance: unexpected status %d", response.StatusCode)
	}
	body, err := upstream.ReadBody(response.Body, maxAnswerBytes)
	if err != nil {
		return errors.Wrap(err, "query instance")
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode answer")
}

// Result is the outcome of one request as the caller knows it.
type Result struct {
	RequestID string
	Outcome   reason.Outcome
	Reason    reason.Reason
	Status    int
	// RetryAfter is the time in the Retry-After header.
	RetryAfter time.Duration
	Text       string
	Tokens     int
	// FirstToken is the time to the first token. TokenInterval is the mean time
	// between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	Took          time.Duration
}

// Completion is a request to a model to continue a prompt.
type Completion struct {
	Model     string
	Prompt    string
	MaxTokens int
	Team      string
	// OnToken, if not nil, is called with each token as it arrives.
	OnToken func(text string)
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete streams a completion. Failures are reported in the outcome of the
// result. The outcome of a lost connection is unknown.
func (c *Client) Complete(ctx context.Context, req Completion) Result {
	body, err := json.Marshal(completionBody{req.Model, req.Prompt, req.MaxTokens, true})
	if err != nil {
		panic("client: request cannot be encoded: " + err.Error())
	}
	headers := map[string]string{"Content-Type": "application/json", caller.HeaderTeam: req.Team}
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
		c.forgetEntry()
	}
	if err != nil {
		return c.lostResult(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorResult(response)
	}
	return readStream(ctx, response, started, req.OnToken)
}

// maxDials is how many addresses are tried before a request counts as not run.
// Another address is tried only when no connection was made.
const maxDials = 3

// isDialError reports whether no connection was made, so that no byte was sent.
func isDialError(err error) bool { return errors.Is(err, upstream.ErrNotSent) }

func (c *Client) post(ctx context.Context, method, url string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return c.transport.RoundTrip(request)
}

func (c *Client) lostResult(ctx context.Context, err error) Result {
	c.forgetEntry()
	if isDialError(err) {
		return Result{Outcome: reason.NotRun, Reason: reason.ConnectFailed, Text: err.Error()}
	}
	why := reason.AnswerLost
	if ctx.Err() != nil {
		why = reason.CallerGone
	}
	return Result{Outcome: reason.Unknown, Reason: why, Text: err.Error()}
}

// errorResult returns the result of an answer other than 200.
func errorResult(response *http.Response) Result {
	result := headerResult(response)
	io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
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

// streamEvent holds the fields of a stream event that the client reads.
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
		result.TokenInterval = last.Sub(first) / time.Duration(result.Tokens-1)
	}
	return result
}

// Call is one call to a plain service (without models).
type Call struct {
	Service string
	Method  string
	Path    string
	Body    []byte
	Team    string
	// WithOperationID makes the call carry an operation ID, so that its outcome can be
	// queried when the instance fails.
	WithOperationID bool
}

// CallResult is the outcome of one plain call as the caller knows it.
type CallResult struct {
	Result
	// Operation is the operation ID of the call, or empty if it had none.
	Operation string
}

// Do sends a plain call. When the answer to a call with an operation ID is
// lost, it queries the witness (the instance in another zone that acknowledged
// the intent of the call) for the outcome.
func (c *Client) Do(ctx context.Context, call Call) CallResult {
	var result CallResult
	for range maxDials {
		var dialled bool
		if result, dialled = c.doOnce(ctx, call); dialled {
			break
		}
		c.forgetEntry()
	}
	return result
}

// doOnce sends a plain call to the current address. dialled is false when no
// connection was made.
func (c *Client) doOnce(ctx context.Context, call Call) (result CallResult, dialled bool) {
	entry, err := c.Entry(ctx)
	if err != nil {
		return CallResult{Result: Result{Outcome: reason.NotRun, Reason: reason.ConnectFailed}}, true
	}
	if call.WithOperationID && entry.Operation != nil {
		result.Operation = entry.Operation.Prefix + newNonce()
	}
	url := "http://" + entry.Address + caller.PathServices + call.Service + call.Path
	headers := map[string]string{caller.HeaderIdempotency: result.Operation, caller.HeaderTeam: call.Team}
	started := time.Now()
	response, err := c.post(ctx, call.Method, url, call.Body, headers)
	if err != nil {
		result.Result = c.lostResult(ctx, err)
		if result.Operation != "" && !isDialError(err) {
			c.resolveOutcome(ctx, entry, &result)
		}
		return result, !isDialError(err)
	}
	defer response.Body.Close()
	body, err := upstream.ReadBody(response.Body, maxAnswerBytes)
	result.Result = headerResult(response)
	result.Text = string(body)
	result.Took = time.Since(started)
	if err != nil {
		result.Result = c.lostResult(ctx, err)
	}
	return result, true
}

const (
	// maxStatusQueries and statusQueryInterval bound how long a caller queries
	// the outcome of a call that is still running.
	maxStatusQueries    = 20
	statusQueryInterval = 250 * time.Millisecond
)

// resolveOutcome queries the status of a call until its outcome is decided.
func (c *Client) resolveOutcome(ctx context.Context, entry instance.Entry, result *CallResult) {
	for range maxStatusQueries {
		status, err := c.queryStatus(ctx, entry, result.Operation)
		if err != nil {
			return
		}
		result.Outcome = status.Outcome
		if !status.Running {
			result.Reason = status.Reason
			return
		}
		select {
		case <-time.After(statusQueryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// queryStatus queries the witness, and then the known instances, for the status
// of a call.
func (c *Client) queryStatus(ctx context.Context, entry instance.Entry, id string) (operation.Status, error) {
	addresses := append([]string{entry.Operation.Witness}, c.Addresses()...)
	for _, address := range addresses {
		if status, err := c.QueryOperation(ctx, address, id); err == nil {
			return status, nil
		}
	}
	return operation.Status{}, ErrNoInstance
}

// QueryOperation queries an instance for the status of an operation.
func (c *Client) QueryOperation(ctx context.Context, address, id string) (operation.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var status operation.Status
	err := c.getJSON(ctx, "http://"+address+caller.PathOperations+id, &status)
	return status, err
}

// newNonce returns the caller's part of an operation ID.
func newNonce() string {
	return strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}
