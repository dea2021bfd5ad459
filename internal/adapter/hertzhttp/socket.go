package hertzhttp

import "syscall"

// socket looks at what has come in on a connection without taking it.
type socket struct {
	raw   syscall.RawConn
	quiet bool                  // what look found
	look  func(fd uintptr) bool // made once, as it would be for each call otherwise
}

func newSocket(c syscall.Conn) (*socket, error) {
	raw, err := c.SyscallConn()
	s := &socket{raw: raw}
	s.look = func(fd uintptr) bool {
		s.quiet = nothingCame(fd)
		return true
	}
	return s, err
}

// untouched reports that neither bytes nor the end have come in. It must not be
// called while another goroutine reads.
func (s *socket) untouched() bool {
	s.quiet = false
	return s.raw.Read(s.look) == nil && s.quiet
}
