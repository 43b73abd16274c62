package caller

import (
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
)

// answerFormat is one of the two formats of completion answers. whole and chunk are the
// values of the "object" field in a whole answer and in a chunk of a stream.
type answerFormat struct {
	whole string
	chunk string
	chat  bool
}

var (
	chatFormat = answerFormat{whole: "chat.completion", chunk: "chat.completion.chunk", chat: true}
	textFormat = answerFormat{whole: "text_completion", chunk: "text_completion"}
)

// answerBody is a completion answer or one chunk of a stream.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
	// Outcome is set in a whole answer and in the last chunk.
	Outcome reason.Outcome `json:"outcome,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const roleAssistant = "assistant"

// finishLength is the finish reason of every answer, since answers always run
// to the requested length.
var finishLength = "length"

func (f answerFormat) wholeChoice(text string) answerChoice {
	choice := answerChoice{FinishReason: &finishLength}
	if f.chat {
		choice.Message = &answerMessage{Role: roleAssistant, Content: text}
		return choice
	}
	choice.Text = &text
	return choice
}

func (f answerFormat) chunkChoice(text string, first, last bool) answerChoice {
	choice := answerChoice{}
	if last {
		choice.FinishReason = &finishLength
	}
	if !f.chat {
		choice.Text = &text
		return choice
	}
	choice.Delta = &answerMessage{Content: text}
	if first {
		choice.Delta.Role = roleAssistant
	}
	return choice
}

func usageOf(result request.Result) *answerUsage {
	return &answerUsage{
		PromptTokens: result.PromptTokens, CompletionTokens: result.Tokens,
		TotalTokens: result.PromptTokens + result.Tokens,
	}
}
