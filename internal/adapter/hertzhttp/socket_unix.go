//go:build unix

package hertzhttp

import "syscall"

// receiveBufferEmpty peeks at one byte without blocking. A closed connection reads
// as zero bytes without an error.
func receiveBufferEmpty(fd uintptr) bool {
	var b [1]byte
	for {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}
