//go:build !unix

package hertzhttp

// receiveBufferEmpty is not supported on this platform; it returns false so that
// no connection is reused.
func receiveBufferEmpty(uintptr) bool { return false }
