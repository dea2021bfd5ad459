package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tableRow matches a table row of the settings page: key, unit, default, meaning.
var tableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$")

// Checks that the settings page lists each key exactly once, no other keys, and the
// defaults of the code.
func TestDocumentationListsAllSettings(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	documented := map[string]string{}
	for _, m := range tableRow.FindAllStringSubmatch(string(page), -1) {
		if _, ok := documented[m[1]]; ok {
			t.Errorf("%s is listed twice", m[1])
		}
		documented[m[1]] = m[2]
	}
	defaults := reflect.ValueOf(Default())
	keys := settingKeys("", defaults.Type())
	is.Equal(len(documented), len(keys))
	for _, k := range keys {
		text, ok := documented[k]
		if !ok {
			t.Errorf("%s is not listed", k)
			continue
		}
		if v := lookup(defaults, k); !v.IsZero() && !equalsDefault(strings.Trim(text, "`"), v.Interface()) {
			t.Errorf("%s: the page has default %s, the code %v", k, text, v)
		}
	}
}

// lookup returns the value of a setting by its key.
func lookup(v reflect.Value, key string) reflect.Value {
	for name := range strings.SplitSeq(key, ".") {
		v = v.Field(fieldsByKey(v.Type())[name])
	}
	return v
}

func equalsDefault(text string, v any) bool {
	if want, ok := v.(time.Duration); ok {
		d, err := time.ParseDuration(text)
		return err == nil && d == want
	}
	return fmt.Sprint(v) == text
}
