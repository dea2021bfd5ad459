package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"peardrift/internal/status"
)

// CodeHarness is the code of the harness's own failures.
const CodeHarness status.Code = "harness"

// Bins are the programs that a fleet consists of.
type Bins struct {
	Node, Tool, Target, Platform string
}

// Programs are the workspace's programs, compiled into a folder of their own.
type Programs struct {
	Root string // the workspace's folder
	Dir  string // where the programs are
	Bins Bins
}

// BuildPrograms compiles the programs of the workspace around the present folder.
// Close removes them.
func BuildPrograms() (*Programs, error) {
	root, err := Root()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "folder of the programs")
	}
	p := &Programs{Root: root, Dir: dir}
	if p.Bins, err = Build(root, dir); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close removes the programs.
func (p *Programs) Close() { _ = os.RemoveAll(p.Dir) } // a folder of the system's for what need not last

// Build compiles the programs of the workspace at root into dir.
func Build(root, dir string) (Bins, error) {
	b := Bins{
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

// BuildOne compiles one more program of the workspace into dir.
func BuildOne(root, dir, pkg string) (string, error) {
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

// Root finds the workspace's folder from the present one upwards.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", status.Wrap(CodeHarness, err, "no present folder")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			return "", status.New(CodeHarness, "no go.work above the present folder")
		}
		dir = up
	}
}
