// Package pages holds the project's pages to what they point at: links lead to
// pages and headings that are there, and files and tests that a page names are
// in the tree.
package pages
