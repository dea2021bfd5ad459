package dataplane

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/wire"
)

// Guards against taking the next bytes on a connection for the answer: when a target
// answers twice or sends bytes that are no answer, a caller would get another caller's
// answer or one that no target made.
func TestCheckAnswer(t *testing.T) {
	is := is.New(t)
	d := wire.Dialect{Request: "X-Name", Signature: "X-Signed"}
	check := CheckAnswer(d)
	for _, c := range []struct {
		status                 int
		echo, signed, encoding string
		want                   hertzhttp.Match
	}{
		{200, "a", "s", "", hertzhttp.MatchesRequest},
		{500, "a", "", "", hertzhttp.MatchesRequest},
		{200, "", "s", "", hertzhttp.MatchesRequest},
		{200, "b", "s", "", hertzhttp.MatchesEarlierRequest},
		{503, "b", "", "", hertzhttp.MatchesEarlierRequest},
		{200, "a", "", "", hertzhttp.MatchesNone},
		{200, "a", "s", "gzip", hertzhttp.MatchesNone},
	} {
		var req protocol.RequestHeader
		var resp protocol.ResponseHeader
		req.Set(d.Request, "a")
		resp.SetStatusCode(c.status)
		for k, v := range map[string]string{d.Request: c.echo, d.Signature: c.signed, "Content-Encoding": c.encoding} {
			if v != "" {
				resp.Set(k, v)
			}
		}
		is.Equal(check(&req, &resp), c.want)
	}
}
