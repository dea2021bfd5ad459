package platform

import (
	"encoding/xml"
	"net/http"
	"strings"
	"sync"
)

// objects holds the objects of the object store, by "/bucket/key".
type objects struct {
	mu     sync.Mutex
	byName map[string][]byte
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.byName[name]
	return b, ok
}

// put stores an object and reports whether it did; with ifAbsent it does not
// replace an existing object.
func (o *objects) put(name string, body []byte, ifAbsent bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.byName[name]; ok && ifAbsent {
		return false
	}
	o.byName[name] = body
	return true
}

// serveObject handles one call of the object store.
func (s *Server) serveObject(c call) reply {
	switch {
	case strings.Count(c.path, "/") < 2:
		return objectFailure(http.StatusBadRequest, "InvalidRequest")
	case c.chunked:
		// The body is framed in signed chunks, not the object's plain bytes.
		return objectFailure(http.StatusNotImplemented, "NotImplemented")
	case c.method == http.MethodPut:
		return s.putObject(c)
	case c.method == http.MethodGet || c.method == http.MethodHead:
		s.state.update(func(c *Counters) { c.Reads++ })
		body, ok := s.objects.get(c.path)
		if !ok {
			return objectFailure(http.StatusNotFound, "NoSuchKey")
		}
		return reply{code: http.StatusOK, contentType: "application/octet-stream", body: body}
	default:
		return objectFailure(http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *Server) putObject(c call) reply {
	ok := s.objects.put(c.path, c.body, c.ifAbsent)
	s.state.update(func(c *Counters) {
		c.Writes++
		c.Items++
		if !ok {
			c.Conflicts++
		}
	})
	if !ok {
		return objectFailure(http.StatusPreconditionFailed, "PreconditionFailed")
	}
	return reply{code: http.StatusOK, drop: s.state.recordWrite()}
}

func objectFailure(code int, name string) reply {
	body, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: name, Message: http.StatusText(code)})
	if err != nil {
		panic(err) // plain strings always marshal
	}
	return reply{code: code, contentType: "application/xml", body: body}
}
