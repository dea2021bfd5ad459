// Package yamlset reads a tenant's configuration set from YAML files.
//
// A set is a directory of *.yaml and *.yml files (or a list of files). One of
// them declares tenant and share, any of them services. All problems are
// reported together, each with its file, line, column and field; a set with a
// problem is rejected as a whole. Unknown and repeated keys, anchors, aliases,
// tags and additional documents are problems.
//
// Parse is a pure function and safe for concurrent use; Load reads files.
package yamlset
