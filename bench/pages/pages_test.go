package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peardrift/bench/harness"
)

var (
	link     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading  = regexp.MustCompile(`(?m)^#+ (.*)$`)
	named    = regexp.MustCompile("`((?:bench|cmd|docs|examples|internal)/[\\w/.-]+)`")
	test     = regexp.MustCompile("`(Test\\w+|Fuzz\\w+|Benchmark\\w+)`")
	declared = regexp.MustCompile(`(?m)^func (Test\w+|Fuzz\w+|Benchmark\w+)\(`)
	unslug   = regexp.MustCompile(`[^\w\- ]`)
)

// tree is what the pages may point at.
type tree struct {
	root  string
	pages map[string]string // content by path from the root
	tests map[string]bool   // by name
}

func load(t *testing.T) tree {
	t.Helper()
	root, err := harness.Root()
	if err != nil {
		t.Fatal(err)
	}
	tr := tree{root: root, pages: map[string]string{}, tests: map[string]bool{}}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		isTest := strings.HasSuffix(path, "_test.go")
		if err != nil || d.IsDir() || !isTest && filepath.Ext(path) != ".md" {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if isTest {
			for _, m := range declared.FindAllSubmatch(b, -1) {
				tr.tests[string(m[1])] = true
			}
			return nil
		}
		name, err := filepath.Rel(root, path)
		tr.pages[name] = string(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// slug is a heading as links name it.
func slug(text string) string {
	return strings.ReplaceAll(unslug.ReplaceAllString(strings.ToLower(text), ""), " ", "-")
}

func (tr tree) has(path string) bool {
	_, err := os.Stat(filepath.Join(tr.root, path))
	return err == nil
}

// leads reports whether a link on a page has an end.
func (tr tree) leads(page, to string) bool {
	if strings.Contains(to, "://") {
		return true // outside the tree
	}
	path, fragment, _ := strings.Cut(to, "#")
	target := page
	if path != "" {
		target = filepath.Join(filepath.Dir(page), path)
	}
	if fragment == "" {
		return tr.has(target)
	}
	for _, m := range heading.FindAllStringSubmatch(tr.pages[target], -1) {
		if slug(m[1]) == fragment {
			return true
		}
	}
	return false
}

// Symptom: an operator in a hurry follows a link to nothing, or a reader looks
// for a proof that isn't there. Events: a heading, file or test gets another
// name. Cause: nothing holds pages to the tree.
func TestPagesPointAtWhatIsThere(t *testing.T) {
	tr := load(t)
	is.New(t).True(len(tr.pages) > 0 && len(tr.tests) > 0)
	for page, text := range tr.pages {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if !tr.leads(page, m[1]) {
				t.Errorf("%s: the link %s leads nowhere", page, m[1])
			}
		}
		for _, m := range named.FindAllStringSubmatch(text, -1) {
			if path := strings.TrimRight(m[1], "./"); !tr.has(path) {
				t.Errorf("%s names %s, which isn't there", page, path)
			}
		}
		for _, m := range test.FindAllStringSubmatch(text, -1) {
			if !tr.tests[m[1]] {
				t.Errorf("%s names %s, which isn't there", page, m[1])
			}
		}
	}
}

func TestBrokenLinksAreFound(t *testing.T) {
	is := is.New(t)
	tr := tree{root: t.TempDir(), pages: map[string]string{"docs/a.md": "# One two\n## `x`, y\n"}}
	is.True(tr.leads("docs/a.md", "#one-two"))
	is.True(tr.leads("README.md", "docs/a.md#x-y"))
	is.True(!tr.leads("docs/a.md", "#three"))
	is.True(!tr.leads("docs/a.md", "b.md"))
}
