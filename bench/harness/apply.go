package harness

import (
	"bytes"
	"context"
	"errors"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// toolCallTimeout exceeds the time that the platform stand-in needs to answer on
// a busy machine; the tool's default of 2 s assumes a platform on its own CPUs.
const toolCallTimeout = 10 * time.Second

// RunTool runs the operators' command-line tool against the fleet's platform and
// returns its standard output and exit code. A non-zero exit code is an error too.
func (f *Fleet) RunTool(ctx context.Context, command string, args ...string) (stdout string, code int, err error) {
	argv := append([]string{command, "--platform", f.Hosts[0].nodeFile, "--call-timeout", toolCallTimeout.String()}, args...)
	cmd := exec.CommandContext(ctx, f.Bins.Tool, argv...)
	var out, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &stderr
	err = cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", -1, status.Wrap(CodeHarness, err, "run the tool")
	}
	if code = cmd.ProcessState.ExitCode(); code != 0 {
		return out.String(), code, status.New(CodeHarness, "%s exited with code %d: %s", command, code, stderr.String())
	}
	return out.String(), 0, nil
}

// Apply submits the configuration set in a folder of examples with the tool's
// apply command.
func (f *Fleet) Apply(ctx context.Context, root, example string, base int64) error {
	_, _, err := f.RunTool(ctx, "apply", "--base", strconv.FormatInt(base, 10),
		"--node", f.Hosts[0].Addr.Control, filepath.Join(root, "examples", example))
	return err
}

// ApplyLatest submits the set in a file on the newest version of the tenant's set that a node
// has in force.
func (f *Fleet) ApplyLatest(ctx context.Context, tenant, file string) error {
	base := int64(0)
	for _, h := range f.Hosts {
		if s, err := h.Status(); err == nil {
			base = max(base, s.Versions[request.Tenant(tenant)])
		}
	}
	_, _, err := f.RunTool(ctx, "apply", "--base", strconv.FormatInt(base, 10), file)
	return err
}
