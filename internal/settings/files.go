package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// checkAppendable returns a problem for each log or trace file that can't be appended to.
// Without this check the file would only fail at the restart.
func checkAppendable(s *Settings) []Problem {
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

// canAppend opens a file the way its writer does. It creates none: if the file doesn't
// exist, its folder must be writable.
func canAppend(path string) error {
	info, err := os.Stat(path)
	switch {
	case os.IsNotExist(err):
		return canCreateIn(filepath.Dir(path))
	case err != nil:
		return err
	case !info.Mode().IsRegular() && !info.IsDir():
		return nil // opening a pipe or device could have side effects
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return f.Close()
}

// accessWrite is W_OK of access(2).
const accessWrite = 2

func canCreateIn(dir string) error {
	info, err := os.Stat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return &fs.PathError{Op: "create in", Path: dir, Err: syscall.ENOTDIR}
	}
	if err := syscall.Access(dir, accessWrite); err != nil {
		return &fs.PathError{Op: "create in", Path: dir, Err: err}
	}
	return nil
}
