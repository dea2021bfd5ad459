package yamlset

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

// Load reads a set from files and from the *.yaml and *.yml files directly in
// directories. The error is Problems if the set is not valid, and has
// status.CodeInvalidSettings if something can't be read.
func Load(paths ...string) (configset.Set, error) {
	var files []File
	for _, path := range paths {
		names, err := listFiles(path)
		if err != nil {
			return configset.Set{}, err
		}
		for _, name := range names {
			f, err := readFile(name)
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

// listFiles returns path itself, or the files of a directory in sorted order.
func listFiles(path string) ([]string, error) {
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
	return names, requireRegular(names)
}

// requireRegular rejects directory entries that are not regular files: opening a
// pipe without a writer blocks forever, and no timeout applies. A pipe that the
// caller names explicitly is allowed.
func requireRegular(names []string) error {
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

// readFile reads at most one byte beyond MaxFileSize, so that a huge or endless
// file takes no memory before Parse rejects it.
func readFile(name string) (File, error) {
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
