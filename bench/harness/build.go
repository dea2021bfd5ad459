package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"peardrift/internal/status"
)

// CodeHarness is the error code for failures of the harness itself.
const CodeHarness status.Code = "harness"

// Binaries holds the paths of the binaries that a fleet runs.
type Binaries struct {
	Node, Tool, Target, Platform string
}

// Programs holds the workspace's binaries, built into a temporary directory.
type Programs struct {
	Root string // root directory of the workspace
	Dir  string // directory of the binaries
	Bins Binaries
}

// BuildPrograms builds the programs of the workspace that contains the working
// directory. Close removes them.
func BuildPrograms() (*Programs, error) {
	root, err := WorkspaceRoot()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "create the directory for the binaries")
	}
	p := &Programs{Root: root, Dir: dir}
	if p.Bins, err = Build(root, dir); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close removes the binaries. An error is ignored, as they are in the system's
// directory for temporary files.
func (p *Programs) Close() { _ = os.RemoveAll(p.Dir) }

// Build builds the programs of the workspace at root into dir.
func Build(root, dir string) (Binaries, error) {
	b := Binaries{
		Node:     filepath.Join(dir, "peardriftd"),
		Tool:     filepath.Join(dir, "peardrift"),
		Target:   filepath.Join(dir, "standin-target"),
		Platform: filepath.Join(dir, "standin-platform"),
	}
	for out, pkg := range map[string]string{
		b.Node:     "./cmd/peardriftd",
		b.Tool:     "./cmd/peardrift",
		b.Target:   "./bench/cmd/standin-target",
		b.Platform: "./bench/cmd/standin-platform",
	} {
		if err := build(root, out, pkg); err != nil {
			return b, err
		}
	}
	return b, nil
}

// BuildProgram builds the program in package pkg of the workspace at root into dir and
// returns the path of the binary.
func BuildProgram(root, dir, pkg string) (string, error) {
	out := filepath.Join(dir, filepath.Base(pkg))
	return out, build(root, out, pkg)
}

func build(root, out, pkg string) error {
	cmd := exec.Command("go", "build", "-o", out, pkg)
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return status.Wrap(CodeHarness, err, "build %s", pkg)
	}
	return nil
}

// WorkspaceRoot returns the closest directory with a go.work file, starting at the working
// directory and going up.
func WorkspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", status.Wrap(CodeHarness, err, "get the working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", status.New(CodeHarness, "no go.work in the working directory or its parents")
		}
		dir = parent
	}
}
