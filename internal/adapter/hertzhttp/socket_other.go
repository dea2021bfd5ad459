//go:build !unix

package hertzhttp

// nothingCame can't tell here, so that no connection is used twice.
func nothingCame(uintptr) bool { return false }
