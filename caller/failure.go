package caller

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
)

// failure is an error answer to a caller.
type failure struct {
	status     int
	requestID  string
	outcome    reason.Outcome
	why        reason.Reason
	detail     string
	retryAfter time.Duration
}

// openAIError is the error format of the OpenAI API reference, with the
// request's ID and outcome added.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

type openAIErrorBody struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Param     *string        `json:"param"`
	Code      reason.Reason  `json:"code"`
	RequestID string         `json:"request_id,omitempty"`
	Outcome   reason.Outcome `json:"outcome"`
}

// problem is a problem details object (RFC 9457).
type problem struct {
	Type      string         `json:"type"`
	Title     string         `json:"title"`
	Status    int            `json:"status"`
	Detail    string         `json:"detail,omitempty"`
	RequestID string         `json:"request_id,omitempty"`
	Outcome   reason.Outcome `json:"outcome"`
	Reason    reason.Reason  `json:"reason"`
}

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
	// problemBase is the prefix of each problem type. The reason follows it.
	problemBase = "urn:mastwheel:reason:"
)

// statuses maps a reason that ends a request without an answer to its HTTP
// status. Reasons that are not listed get 503, or 502 if the outcome is
// unknown.
var statuses = map[reason.Reason]int{
	reason.Malformed:        fasthttp.StatusBadRequest,
	reason.TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	reason.UnknownService:   fasthttp.StatusNotFound,
	reason.TeamCap:          fasthttp.StatusTooManyRequests,
	reason.ServiceCap:       fasthttp.StatusTooManyRequests,
	reason.QueueFull:        fasthttp.StatusTooManyRequests,
	reason.NoDecodeMemory:   fasthttp.StatusTooManyRequests,
	reason.DeadlineTooClose: fasthttp.StatusTooManyRequests,
	reason.OperationClosed:  fasthttp.StatusConflict,
	reason.OperationExpired: fasthttp.StatusConflict,
	reason.OperationForeign: fasthttp.StatusConflict,
	reason.AlreadyAnswered:  fasthttp.StatusConflict,
}

// minRetryAfter is the shortest Retry-After of a 429 or 503 answer. It applies
// when the failure sets no time of its own.
const minRetryAfter = time.Second

func resultFailure(result request.Result) failure {
	status, ok := statuses[result.Reason]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	if result.Outcome == reason.Unknown && !ok {
		status = fasthttp.StatusBadGateway
	}
	return failure{
		status: status, requestID: result.RequestID, outcome: result.Outcome, why: result.Reason,
		detail: meaning(result.Reason), retryAfter: result.RetryAfter,
	}
}

func meaning(why reason.Reason) string {
	for _, info := range reason.All {
		if info.Reason == why {
			return info.Meaning
		}
	}
	return string(why)
}

// writeFailure writes a failure in the format that clients of the path expect.
func (s *Server) writeFailure(ctx *fasthttp.RequestCtx, f failure) {
	if f.outcome == "" {
		f.outcome = reason.NotRun
	}
	if f.requestID == "" {
		f.requestID = s.instance.NewRequestID()
	}
	header := &ctx.Response.Header
	header.Set(HeaderRequestID, f.requestID)
	header.Set(HeaderOutcome, string(f.outcome))
	header.Set(HeaderReason, string(f.why))
	if f.status == fasthttp.StatusTooManyRequests || f.status == fasthttp.StatusServiceUnavailable {
		wait := max(f.retryAfter, minRetryAfter)
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if bytes.HasPrefix(ctx.Path(), []byte("/v1/")) {
		writeJSON(ctx, f.status, f.openAI())
		return
	}
	writeJSON(ctx, f.status, problem{
		Type: problemBase + string(f.why), Title: fasthttp.StatusMessage(f.status), Status: f.status,
		Detail: f.detail, RequestID: f.requestID, Outcome: f.outcome, Reason: f.why,
	})
	header.SetContentType(contentProblem)
}

func (f failure) openAI() openAIError {
	kind := "invalid_request_error"
	if f.status >= fasthttp.StatusInternalServerError {
		kind = "server_error"
	}
	if f.status == fasthttp.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return openAIError{Error: openAIErrorBody{
		Message: f.detail, Type: kind, Code: f.why, RequestID: f.requestID, Outcome: f.outcome,
	}}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("caller: answer cannot be encoded: " + err.Error())
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(encoded)
}
