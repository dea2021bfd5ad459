// Package yamlset reads a tenant's configuration set from YAML files.
//
// A set is a directory of *.yaml and *.yml files (or a list of files). One of
// them declares tenant and share, any of them services. Everything is checked
// and all problems are reported together, each with its file, line, column and
// field; a set with a problem is not returned even in part. Unknown and
// repeated keys, anchors, aliases, tags and further documents are problems.
//
// Parse is pure and may be called from any goroutine; Load reads files.
package yamlset
