package settings

import (
	"fmt"
	"io"
	"os"
	"strings"

	"peardrift/internal/status"
)

// Environment variables with the platform's keys, used if the settings don't provide them.
const (
	EnvAccessKey = "PEARDRIFT_ACCESS_KEY"
	EnvSecretKey = "PEARDRIFT_SECRET_KEY"
)

const redacted = "[redacted]"

// Secret is a key that must not reach logs. Printing or encoding a whole Settings value,
// for example in a start-up log line, would disclose the key to everyone who reads the
// logs. Formatting and encoding therefore yield a placeholder, and only Reveal returns the
// key.
type Secret string

// Reveal returns the key in plain text.
func (s Secret) Reveal() string { return string(s) }

// String implements fmt.Stringer.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// Format implements fmt.Formatter, so that no verb prints the key.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(s.String())) }

// MarshalText implements encoding.TextMarshaler for JSON and YAML.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// resolveKeys fills in the platform's keys from files and the environment.
func resolveKeys(p *Platform, env func(string) string) []Problem {
	var ps []Problem
	keys := []struct {
		field, file, env string
		key              *Secret
	}{
		{"platform.accessKey", p.AccessKeyFile, EnvAccessKey, &p.AccessKey},
		{"platform.secretKey", p.SecretKeyFile, EnvSecretKey, &p.SecretKey},
	}
	for _, k := range keys {
		if *k.key != "" {
			continue
		}
		if k.file != "" {
			b, err := readKey(k.file)
			if err != nil {
				ps = append(ps, Problem{Field: k.field + "File", Message: "can't be read: " + err.Error()})
				continue
			}
			*k.key = Secret(strings.TrimSpace(string(b)))
		} else {
			*k.key = Secret(env(k.env))
		}
		if *k.key == "" {
			ps = append(ps, Problem{Field: k.field, Message: "is required: here, in " + k.field + "File or in " + k.env})
		}
	}
	return ps
}

// maxKeyBytes bounds a key file; a longer file indicates a wrong path.
const maxKeyBytes = 4096

// readKey reads a key file. It reads at most maxKeyBytes+1 bytes, so that a device or a
// huge file given by mistake costs no memory.
func readKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxKeyBytes+1))
	if err == nil && len(b) > maxKeyBytes {
		err = status.New(status.CodeInvalidSettings, "%s is longer than %d bytes", path, maxKeyBytes)
	}
	return b, err
}
