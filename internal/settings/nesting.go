package settings

import (
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds how deep YAML collections may stand in each other; the
// deepest of a node's settings is three.
const maxNesting = 16

// tooDeep finds the first collection that is nested too deep. The library's
// parser takes time and memory by the square of the depth: 32 KiB of "[" took
// it 2 s and 1.9 GB, which on a small instance ends the process, or another
// one, without a word about the file.
func tooDeep(content []byte) *token.Token {
	flow, entries := 0, 0
	for _, t := range lexer.Tokenize(string(content)) {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType, token.MappingKeyType, token.TagType:
			entries++ // "- - - x" nests as "[[[x]]]" does
			if entries > maxNesting {
				return t
			}
			continue
		}
		if flow > maxNesting {
			return t
		}
		entries = 0
	}
	return nil
}
