package settings

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds the nesting depth of YAML collections; a node's settings need three
// levels.
const maxNesting = 16

// findTooDeep returns the first token that is nested too deep, nil if there is none. The
// library's parser takes time and memory quadratic in the depth: 32 KiB of "[" took 2 s and
// 1.9 GB, which on a small instance gets the process, or another one, killed without any
// message about the file.
func findTooDeep(content []byte) *token.Token {
	flowDepth, blockDepth := 0, 0
	for _, t := range lexer.Tokenize(string(content)) {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType, token.TagType:
			blockDepth++ // "- - - x" nests as "[[[x]]]" does
			if blockDepth > maxNesting {
				return t
			}
			continue
		}
		if flowDepth > maxNesting {
			return t
		}
		blockDepth = 0
	}
	return nil
}
