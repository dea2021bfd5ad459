package yamlset

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/status"
)

// Guards against "peardrift validate" hanging beyond --timeout: the set's directory
// contains a pipe named like a set file, and opening a pipe waits for its writer.
func TestDirectoryWithNonRegularFileIsRefused(t *testing.T) {
	for name, add := range map[string]func(path string) error{
		"a pipe":        func(path string) error { return syscall.Mkfifo(path, 0o600) },
		"a directory":   func(path string) error { return os.Mkdir(path, 0o700) },
		"a broken link": func(path string) error { return os.Symlink("nowhere", path) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "set.yaml")
			is.NoErr(add(path))
			_, err := Load(filepath.Dir(path))
			is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
			is.True(strings.Contains(err.Error(), path))
		})
	}
}
