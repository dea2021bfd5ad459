//go:build unix

package hertzhttp

import "syscall"

// nothingCame reads a byte without taking it or waiting for it. The end of the
// connection reads as none, and no error.
func nothingCame(fd uintptr) bool {
	var b [1]byte
	for {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}
