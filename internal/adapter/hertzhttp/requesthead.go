package hertzhttp

import (
	"bytes"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// headError is why a request's head is not accepted. The request has not run.
type headError struct {
	status     int
	text       string
	retryAfter time.Duration // 0: none advised
}

// Error implements error.
func (e *headError) Error() string { return e.text }

var (
	errLongHead      = &headError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the request's head exceeds the limit"}
	errMalformedHead = &headError{status: http.StatusBadRequest, text: "the request's head is invalid"}
	errSlowHead      = &headError{status: http.StatusRequestTimeout, text: "the request's head took too long"}
	errMemory        = &headError{status: http.StatusServiceUnavailable, text: "too many large requests are being received", retryAfter: memoryRetryAfter}
)

// memoryRetryAfter is when a client may send a request again that was refused for lack of
// memory.
const memoryRetryAfter = time.Second

// requestHead is what a head says of its request.
type requestHead struct {
	size    int // in bytes
	fields  int
	length  int // of the body, if it isn't in chunks
	chunked bool
	hasHost bool
}

// fieldBytes is about how much memory a field takes once it is decoded, for the request and
// for its copy that is sent on, in addition to its text.
const fieldBytes = 256

// memory returns about how much memory the request takes until its body is read.
func (h *requestHead) memory() int { return 3*h.size + fieldBytes*h.fields }

// headScan finds the end of a head that arrives in parts, behind empty lines that a server
// ignores (RFC 9112, 2.2). It looks at each byte once.
type headScan struct {
	head    requestHead
	begin   int // where the request line begins
	first   int // where the request line ends; 0 until it is complete
	line    int // where the current line begins
	scanned int // before this offset all lines are known

	needsHost bool
}

// next goes on with the bytes received so far, and reports whether the head is complete. A
// request line with the empty lines before it, and the fields, may have limit bytes each, so
// that a limit of the fields alone is kept as well.
func (s *headScan) next(b []byte, limit int) (done bool, err error) {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		end := s.scanned + i + 1
		if i < 0 {
			end = len(b)
		}
		if end-s.first > limit {
			return false, errLongHead
		}
		if i < 0 {
			s.scanned = len(b)
			return false, nil
		}
		line := bytes.TrimSuffix(b[s.line:end-1], []byte{'\r'})
		s.line, s.scanned = end, end
		switch {
		case s.first == 0 && len(line) == 0:
			s.begin = end
		case s.first == 0:
			s.first = end
			s.needsHost = bytes.HasSuffix(line, []byte("HTTP/1.1"))
		case len(line) == 0:
			s.head.size = end - s.begin
			if s.needsHost && !s.head.hasHost {
				return false, errMalformedHead
			}
			return true, nil
		default:
			if err := s.head.addField(line); err != nil {
				return false, err
			}
		}
	}
}

// addField checks a field's name and reads the field if it states the body's length. The
// codec checks the values. A line that continues the one before (obs-fold) is invalid
// (RFC 9112, 5.2).
func (h *requestHead) addField(line []byte) error {
	h.fields++
	i := bytes.IndexByte(line, ':')
	if i <= 0 {
		return errMalformedHead
	}
	name, value := line[:i], trimSpace(line[i+1:])
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return errMalformedHead
		}
	}
	// As the codec reads them; checkFraming refuses requests that state several.
	switch {
	case isName(name, "Host"):
		h.hasHost = len(value) > 0
	case isName(name, "Content-Length"):
		n, ok := parseLength(value)
		if !ok {
			return errMalformedHead
		}
		h.length = n
	case isName(name, "Transfer-Encoding"):
		h.chunked = h.chunked || string(value) != "identity"
	}
	return nil
}
