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
	linkPattern     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern  = regexp.MustCompile(`(?m)^#+ (.*)$`)
	pathPattern     = regexp.MustCompile("`((?:bench|cmd|docs|examples|internal)/[\\w/.-]+)`")
	testPattern     = regexp.MustCompile("`(Test\\w+|Fuzz\\w+|Benchmark\\w+)`")
	testDeclPattern = regexp.MustCompile(`(?m)^func (Test\w+|Fuzz\w+|Benchmark\w+)\(`)
	nonSlugChars    = regexp.MustCompile(`[^\w\- ]`)
)

// docTree holds the pages and tests of the source tree.
type docTree struct {
	root  string
	pages map[string]string // content by path from the root
	tests map[string]bool   // by name
}

func loadTree(t *testing.T) docTree {
	t.Helper()
	root, err := harness.WorkspaceRoot()
	if err != nil {
		t.Fatal(err)
	}
	tr := docTree{root: root, pages: map[string]string{}, tests: map[string]bool{}}
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
			for _, m := range testDeclPattern.FindAllSubmatch(b, -1) {
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

// slug returns the link fragment of a heading.
func slug(text string) string {
	return strings.ReplaceAll(nonSlugChars.ReplaceAllString(strings.ToLower(text), ""), " ", "-")
}

func (tr docTree) exists(path string) bool {
	_, err := os.Stat(filepath.Join(tr.root, path))
	return err == nil
}

// resolves reports whether a link on a page has an existing destination.
func (tr docTree) resolves(page, to string) bool {
	if strings.Contains(to, "://") {
		return true // outside the tree
	}
	path, fragment, _ := strings.Cut(to, "#")
	target := page
	if path != "" {
		target = filepath.Join(filepath.Dir(page), path)
	}
	if fragment == "" {
		return tr.exists(target)
	}
	for _, m := range headingPattern.FindAllStringSubmatch(tr.pages[target], -1) {
		if slug(m[1]) == fragment {
			return true
		}
	}
	return false
}

// Guards against pages that refer to a heading, file or test that has been renamed
// or removed, which leaves operators and readers with a dead link.
func TestPageReferencesExist(t *testing.T) {
	tr := loadTree(t)
	is.New(t).True(len(tr.pages) > 0 && len(tr.tests) > 0)
	for page, text := range tr.pages {
		for _, m := range linkPattern.FindAllStringSubmatch(text, -1) {
			if !tr.resolves(page, m[1]) {
				t.Errorf("%s: broken link %s", page, m[1])
			}
		}
		for _, m := range pathPattern.FindAllStringSubmatch(text, -1) {
			if path := strings.TrimRight(m[1], "./"); !tr.exists(path) {
				t.Errorf("%s names %s, which does not exist", page, path)
			}
		}
		for _, m := range testPattern.FindAllStringSubmatch(text, -1) {
			if !tr.tests[m[1]] {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
	}
}

func TestBrokenLinksAreDetected(t *testing.T) {
	is := is.New(t)
	tr := docTree{root: t.TempDir(), pages: map[string]string{"docs/a.md": "# One two\n## `x`, y\n"}}
	is.True(tr.resolves("docs/a.md", "#one-two"))
	is.True(tr.resolves("README.md", "docs/a.md#x-y"))
	is.True(!tr.resolves("docs/a.md", "#three"))
	is.True(!tr.resolves("docs/a.md", "b.md"))
}
