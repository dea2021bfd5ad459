package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// appendable finds files that lines or spans are to be appended to and can't be.
// A check that passed over them would let a restart fail at the worst moment.
func appendable(s *Settings) []Problem {
	var ps []Problem
	for _, f := range []struct{ field, path string }{
		{"logs.file", s.Logs.File},
		{"traces.file", s.Traces.File},
	} {
		if f.path == "" || f.path == "-" { // "-" is standard output
			continue
		}
		if err := canAppend(f.path); err != nil {
			ps = append(ps, Problem{Field: f.field, Message: "can't be appended to: " + err.Error()})
		}
	}
	return ps
}

// canAppend tries to open a file as its writer will. It creates none; where there
// is none yet, the folder must take one.
func canAppend(path string) error {
	info, err := os.Stat(path)
	switch {
	case os.IsNotExist(err):
		return canCreateIn(filepath.Dir(path))
	case err != nil:
		return err
	case !info.Mode().IsRegular() && !info.IsDir():
		return nil // a pipe or device, which opening could disturb
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return f.Close()
}

// mayWrite is access(2)'s W_OK.
const mayWrite = 2

func canCreateIn(dir string) error {
	info, err := os.Stat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return &fs.PathError{Op: "create in", Path: dir, Err: syscall.ENOTDIR}
	}
	if err := syscall.Access(dir, mayWrite); err != nil {
		return &fs.PathError{Op: "create in", Path: dir, Err: err}
	}
	return nil
}
