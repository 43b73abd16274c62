package caller

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
)

// chatRequest holds the supported fields of a chat completion request.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
	User                string        `json:"user"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is text, given as one string or as a list of parts.
type chatContent string

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, null, or a list of text parts.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text *string
	if json.Unmarshal(data, &text) == nil {
		if text != nil {
			*c = chatContent(*text)
		}
		return nil
	}
	var parts []chatPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither a text nor a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("content part of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

// completionRequest holds the supported fields of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	N         *int   `json:"n"`
	User      string `json:"user"`
}

// completion is a parsed chat completion request or completion request.
type completion struct {
	format answerFormat
	req    request.Model
	stream bool
}

func (s *Server) chat(ctx *fasthttp.RequestCtx) {
	c, err := s.parseChat(ctx.PostBody())
	s.complete(ctx, c, err)
}

func (s *Server) completions(ctx *fasthttp.RequestCtx) {
	c, err := s.parseCompletion(ctx.PostBody())
	s.complete(ctx, c, err)
}

func (s *Server) parseChat(body []byte) (completion, error) {
	var in chatRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return completion{}, errors.Wrap(err, "body")
	}
	if len(in.Messages) == 0 {
		return completion{}, errors.New("messages: at least one is needed")
	}
	limit := in.MaxCompletionTokens
	if limit == nil {
		limit = in.MaxTokens
	}
	maxTokens, err := s.checkCommon(in.Model, limit, in.N)
	if err != nil {
		return completion{}, err
	}
	var prompt strings.Builder
	for _, message := range in.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(message.Content))
		prompt.WriteByte('\n')
	}
	req := request.Model{Model: in.Model, Prompt: prompt.String(), MaxTokens: maxTokens, Team: in.User}
	return completion{format: chatFormat, req: req, stream: in.Stream}, nil
}

func (s *Server) parseCompletion(body []byte) (completion, error) {
	var in completionRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return completion{}, errors.Wrap(err, "body")
	}
	if in.Prompt == "" {
		return completion{}, errors.New("prompt: is empty")
	}
	maxTokens, err := s.checkCommon(in.Model, in.MaxTokens, in.N)
	if err != nil {
		return completion{}, err
	}
	req := request.Model{Model: in.Model, Prompt: in.Prompt, MaxTokens: maxTokens, Team: in.User}
	return completion{format: textFormat, req: req, stream: in.Stream}, nil
}

func (s *Server) checkCommon(model string, limit, n *int) (maxTokens int, err error) {
	if model == "" {
		return 0, errors.New("model: is missing")
	}
	if n != nil && *n != 1 {
		return 0, errors.New("n: only 1 is supported")
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > s.limits.MaxTokens {
		return 0, errors.Errorf("max_tokens: %d is outside 1 to %d", *limit, s.limits.MaxTokens)
	}
	return *limit, nil
}

// complete runs a parsed request, or answers with parseErr.
func (s *Server) complete(ctx *fasthttp.RequestCtx, c completion, parseErr error) {
	id, keyErr := operationID(ctx)
	if parseErr == nil {
		parseErr = keyErr
	}
	if parseErr != nil {
		s.instance.Metrics.Ended("", reason.NotRun, reason.Malformed)
		s.writeFailure(ctx, failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: parseErr.Error()})
		return
	}
	c.req.Operation = id
	c.req.ID = s.instance.NewRequestID()
	if team := ctx.Request.Header.Peek(HeaderTeam); len(team) > 0 {
		c.req.Team = string(team)
	}
	if c.stream {
		s.completeStream(ctx, c)
		return
	}
	s.completeWhole(ctx, c)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelCard{}}
	for name, service := range s.instance.View().Models {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", OwnedBy: service.Name})
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}
