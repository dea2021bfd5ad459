package harness

import (
	"bytes"
	"context"
	"errors"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"peardrift/internal/status"
)

// toolCallTime is more than the platform's stand-in takes to answer on a busy
// machine; the tool's default of 2 s is for a platform with processors of its own.
const toolCallTime = 10 * time.Second

// Tool runs the operators' tool against the fleet's platform and returns what
// it printed and its exit code.
func (f *Fleet) Tool(ctx context.Context, command string, args ...string) (stdout string, code int, err error) {
	all := append([]string{command, "--platform", f.Hosts[0].nodeFile, "--call-timeout", toolCallTime.String()}, args...)
	cmd := exec.CommandContext(ctx, f.Bins.Tool, all...)
	var out, fault bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &fault
	err = cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", -1, status.Wrap(CodeHarness, err, "run the tool")
	}
	if code = cmd.ProcessState.ExitCode(); code != 0 {
		return out.String(), code, status.New(CodeHarness, "%s ended with %d: %s", command, code, fault.String())
	}
	return out.String(), 0, nil
}

// Apply submits the set in a folder of examples as an operator would.
func (f *Fleet) Apply(ctx context.Context, root, example string, base int64) error {
	_, _, err := f.Tool(ctx, "apply", "--base", strconv.FormatInt(base, 10),
		"--node", f.Hosts[0].Addr.Control, filepath.Join(root, "examples", example))
	return err
}
