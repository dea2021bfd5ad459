package yamlset

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

// Load reads a set from files and from the *.yaml and *.yml files that lie
// directly in directories. The error is Problems if the set is not valid, a
// status.CodeInvalidSettings if something can't be read.
func Load(paths ...string) (configset.Set, error) {
	var files []File
	for _, path := range paths {
		names, err := list(path)
		if err != nil {
			return configset.Set{}, err
		}
		for _, name := range names {
			f, err := read(name)
			if err != nil {
				return configset.Set{}, err
			}
			if files = append(files, f); len(files) > MaxFiles {
				return Parse(files...)
			}
		}
	}
	return Parse(files...)
}

// list returns path itself, or the files of a directory in their order.
func list(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot read the set")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var names []string
	for _, pattern := range [...]string{"*.yaml", "*.yml"} {
		found, err := filepath.Glob(filepath.Join(path, pattern))
		if err != nil {
			return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot list the set")
		}
		names = append(names, found...)
	}
	slices.Sort(names)
	return names, regular(names)
}

// regular refuses what isn't a file among the files of a directory: to open a
// pipe that nobody writes to takes for ever, and no time-out ends it. A pipe that
// is named by itself is its caller's wish.
func regular(names []string) error {
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return status.Wrap(status.CodeInvalidSettings, err, "cannot read the set")
		}
		if !info.Mode().IsRegular() {
			return status.New(status.CodeInvalidSettings, "cannot read the set: %s is not a regular file", name)
		}
	}
	return nil
}

// read reads at most one byte more than a file may have, so that a huge or
// endless file costs no memory before Parse refuses it.
func read(name string) (File, error) {
	f, err := os.Open(name)
	if err != nil {
		return File{}, status.Wrap(status.CodeInvalidSettings, err, "cannot read the set")
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, MaxFileSize+1))
	if err != nil {
		return File{}, status.Wrap(status.CodeInvalidSettings, err, "cannot read %s", name)
	}
	return File{Name: name, Body: body}, nil
}
