package connwatch

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against bytes of an answer that are given to others while the answer is still there: the server refers to the body
// until it has closed it.
func TestBodyIsGoneWhenItsBytesAreReleased(t *testing.T) {
	var ctx fasthttp.RequestCtx
	var body *wholeBody
	released := 0
	SetBody(&ctx, []byte("whole"), func() {
		released++
		if body.Len() != 0 || body.Size() != 0 {
			t.Error("the body is still there")
		}
	})
	body = ctx.Response.BodyStream().(*wholeBody)
	if err := ctx.Response.CloseBodyStream(); err != nil || released != 1 {
		t.Errorf("released %d times, %v", released, err)
	}
}
