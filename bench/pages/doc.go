// Package pages checks the references in the project's Markdown pages: links must
// resolve to existing pages and headings, and files and tests named in a page must
// exist in the source tree.
package pages
