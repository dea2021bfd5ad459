package platform

import (
	"encoding/xml"
	"net/http"
	"strings"
	"sync"
)

// objects is the object store's memory, by "/bucket/key".
type objects struct {
	mu sync.Mutex
	m  map[string][]byte
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.m[name]
	return b, ok
}

// put stores an object; with onlyNew it fails if there is one.
func (o *objects) put(name string, body []byte, onlyNew bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.m[name]; ok && onlyNew {
		return false
	}
	o.m[name] = body
	return true
}

// serveObject answers one call of the object store.
func (s *Server) serveObject(c call) reply {
	switch {
	case strings.Count(c.path, "/") < 2:
		return objectFailure(http.StatusBadRequest, "InvalidRequest")
	case c.chunked:
		// Its body isn't the object's bytes but frames around them.
		return objectFailure(http.StatusNotImplemented, "NotImplemented")
	case c.method == http.MethodPut:
		return s.putObject(c)
	case c.method == http.MethodGet || c.method == http.MethodHead:
		s.ledger.update(func(c *Counters) { c.Reads++ })
		body, ok := s.objects.get(c.path)
		if !ok {
			return objectFailure(http.StatusNotFound, "NoSuchKey")
		}
		return reply{code: http.StatusOK, kind: "application/octet-stream", body: body}
	default:
		return objectFailure(http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *Server) putObject(c call) reply {
	ok := s.objects.put(c.path, c.body, c.onlyNew)
	s.ledger.update(func(c *Counters) {
		c.Writes++
		c.Items++
		if !ok {
			c.Conflicts++
		}
	})
	if !ok {
		return objectFailure(http.StatusPreconditionFailed, "PreconditionFailed")
	}
	return reply{code: http.StatusOK, lost: s.ledger.wrote()}
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
	return reply{code: code, kind: "application/xml", body: body}
}
