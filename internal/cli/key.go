package cli

import (
	"bufio"
	"io"
	"os"
	"strings"

	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

// keyCommand makes an API key and the digest that a set names it by.
type keyCommand struct {
	app    *app
	Digest bool `long:"digest" description:"print the digest of the key on standard input instead of making one"`
}

// keyRecord is the command's output.
type keyRecord struct {
	Key    string `json:"key,omitempty"` // shown once, and kept nowhere
	Digest string `json:"digest"`
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	r := keyRecord{Key: configset.NewKey()}
	key := r.Key
	if c.Digest {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		if key = strings.TrimSpace(line); key == "" {
			return status.Wrap(status.CodeInvalidSettings, err, "no key on standard input")
		}
		r.Key = ""
	}
	r.Digest = configset.DigestKey([]byte(key)).String()
	return c.app.show(r, func(w io.Writer) {
		if r.Key != "" {
			c.app.printf(w, "key     %s\n", r.Key)
		}
		c.app.printf(w, "digest  %s\n", r.Digest)
	})
}
