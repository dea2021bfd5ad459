package e2e_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a caller's body is run as a request of its own.
// Events: a request's chunked body is broken off by bytes that look like another
// request; the first is refused. Cause: the connection is read on, although nobody
// knows where the next request on it begins.
func TestNothingIsReadAfterABrokenBody(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: media.khaosan\r\n\r\n"
	for name, body := range map[string]string{
		"no chunk":     "zz\r\n" + hidden,
		"chunk's end":  "3\r\nabcde\r\n" + hidden,
		"last chunk":   "3\r\nabc\r\n0\r\nx" + hidden,
		"chunk's size": "fffffffffffffffff\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, threeServices())
			c.add("media-1", chainConfig("media.khaosan", 10), nil)
			c.publish()
			conn, err := net.Dial("tcp", c.hosts[0].entry.Addr())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /m HTTP/1.1\r\nHost: media.khaosan\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
			is.NoErr(err)
			_, _ = io.ReadAll(conn) // until the node closes it
			is.Equal(c.runs(), int64(0))
		})
	}
}
