// Package buildinfo identifies the build of the running program, from the build
// information that the Go toolchain embeds. It is safe for concurrent use.
package buildinfo

import (
	"runtime/debug"
	"strings"
)

// Info identifies a build.
type Info struct {
	Version  string `json:"version"`            // of the module; "(devel)" from a checkout, "unknown" without build information
	Revision string `json:"revision,omitempty"` // of the version control system
	Modified bool   `json:"modified,omitempty"` // the checkout had uncommitted changes
	Go       string `json:"go"`
}

// Read returns the build of the running program.
func Read() Info {
	out := Info{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	out.Version, out.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			out.Revision = s.Value
		case "vcs.modified":
			out.Modified = s.Value == "true"
		}
	}
	return out
}

// String returns the build on one line.
func (i Info) String() string {
	parts := []string{i.Version}
	if i.Revision != "" {
		parts = append(parts, i.Revision)
	}
	if i.Modified {
		parts = append(parts, "modified")
	}
	return strings.Join(append(parts, "("+i.Go+")"), " ")
}
