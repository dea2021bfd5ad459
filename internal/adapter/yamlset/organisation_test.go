package yamlset

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
)

func TestOrganisationsAreParsed(t *testing.T) {
	is := is.New(t)
	digest := configset.DigestKey([]byte("key-a"))
	callers := "organisations:\n  - {name: acme, keys: [" + digest.String() + "], rank: 1, rate: 2.5, burst: 10}\n  - name: bank\n"
	set, err := Parse(File{"a.yaml", []byte(tenantFile)}, File{"b.yaml", []byte(feedFile)}, File{"c.yaml", []byte(callers)})
	is.NoErr(err)
	is.Equal(set.Organisations, []configset.Organisation{
		{Name: "acme", Keys: []configset.KeyDigest{digest}, Rank: 1, Rate: 2.5, Burst: 10}, {Name: "bank"},
	})
}

// A key in a digest's place must not reach the output of a command.
func TestProblemsOfOrganisationsNameNoKey(t *testing.T) {
	is := is.New(t)
	digest := configset.DigestKey([]byte("key-a")).String()
	for _, callers := range []string{
		"organisations:\n  - {name: acme, keys: [kmgjqnirth5mgjy5rcpi]}\n",
		"organisations:\n  - {name: acme, keys: [" + digest + "]}\n  - {name: bank, keys: [" + digest + "]}\n",
		"organisations:\n  - {name: acme, rate: -1}\n",
		"organisations:\n  - {name: acme}\n  - {name: acme}\n",
	} {
		_, err := Parse(File{"a.yaml", []byte(tenantFile)}, File{"b.yaml", []byte(feedFile)}, File{"c.yaml", []byte(callers)})
		var ps Problems
		is.True(errors.As(err, &ps))
		is.True(len(ps) > 0)
		is.Equal(ps[0].File, "c.yaml")
		is.True(ps[0].Line > 1)
		is.True(!strings.Contains(err.Error(), "kmgj") && !strings.Contains(err.Error(), digest))
	}
}
