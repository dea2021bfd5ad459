package hertzhttp

import "syscall"

// socket checks for received data on a connection without consuming it.
type socket struct {
	raw   syscall.RawConn
	empty bool                  // result of peek
	peek  func(fd uintptr) bool // allocated once instead of per call

	onReceive func() // called when bytes have been read; may be nil
}

func newSocket(c syscall.Conn) (*socket, error) {
	raw, err := c.SyscallConn()
	s := &socket{raw: raw}
	s.peek = func(fd uintptr) bool {
		s.empty = receiveBufferEmpty(fd)
		return true
	}
	return s, err
}

// receiveBufferEmpty reports that neither data nor a close has arrived. It must
// not be called while another goroutine reads.
func (s *socket) receiveBufferEmpty() bool {
	s.empty = false
	return s.raw.Read(s.peek) == nil && s.empty
}
