// Package sexpr parses configuration files in the syntax of S-expressions and decodes their forms. Each node has its
// line and column, so that an error names the position, what was found and what was expected. The package does no I/O
// and defines no form of its own.
//
//	; a comment runs to the end of its line
//	(group counter (instances n1 n2) (settle 2s) (label "front row"))
//
// A word is a sequence of characters other than white space, parentheses, quotes and semicolons. A text is in double
// quotes, in which \" \\ \n and \t are escapes.
package sexpr

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits of a file. Parse returns an error and no nodes for a file that exceeds one of them.
const (
	MaxBytes = 1 << 20 // size of the file in bytes
	MaxDepth = 32      // depth of nested lists
	MaxNodes = 200_000 // number of lists, words and texts
	MaxText  = 4 << 10 // size of a word or text in bytes
)

// deleteCharacter is the control character DEL.
const deleteCharacter = 0x7f

// Parse parses the content of a file. The name of the file appears in errors only. The error is an *Error.
func Parse(file string, src []byte) ([]Node, error) {
	p := parser{file: file, src: src, at: Place{Line: 1, Column: 1}}
	if len(src) > MaxBytes {
		return nil, p.fail(p.at, "found %d bytes, wanted at most %d", len(src), MaxBytes)
	}
	nodes, err := p.list(0, Place{})
	if err != nil {
		return nil, err
	}
	return nodes, nil
}

// parser is the state of parsing one file.
type parser struct {
	file string
	src  []byte
	// offset is the offset of the next character in src, in bytes.
	offset int
	// at is the position of the next character.
	at Place
	// nodes is the number of nodes parsed so far.
	nodes int
}

// fail returns an error at a position.
func (p *parser) fail(at Place, format string, args ...any) error {
	return &Error{File: p.file, Place: at, Message: fmt.Sprintf(format, args...)}
}

// peek returns the next character and its size in bytes. The size is 0 at the end of the file.
func (p *parser) peek() (r rune, size int) {
	if p.offset >= len(p.src) {
		return 0, 0
	}
	return utf8.DecodeRune(p.src[p.offset:])
}

// advance consumes the next character, which has that size in bytes.
func (p *parser) advance(r rune, size int) {
	p.offset += size
	if r == '\n' {
		p.at = Place{Line: p.at.Line + 1, Column: 1}
	} else {
		p.at.Column++
	}
}

// skipBlank skips white space and comments.
func (p *parser) skipBlank() {
	for {
		r, size := p.peek()
		switch {
		case size > 0 && strings.ContainsRune(" \t\n\r", r):
			p.advance(r, size)
		case r == ';':
			p.skipComment()
		default:
			return
		}
	}
}

// skipComment skips the rest of the line.
func (p *parser) skipComment() {
	for r, size := p.peek(); size > 0 && r != '\n'; r, size = p.peek() {
		p.advance(r, size)
	}
}

// list parses nodes up to the closing parenthesis of the list that begins at opened, or at depth 0 up to the end of the
// file.
func (p *parser) list(depth int, opened Place) (nodes []Node, err error) {
	for {
		p.skipBlank()
		r, size := p.peek()
		switch {
		case size == 0 && depth == 0:
			return nodes, nil
		case size == 0:
			return nil, p.fail(p.at, "the file ends within the list that began at %d:%d", opened.Line, opened.Column)
		case r == ')' && depth == 0:
			return nil, p.fail(p.at, "found a closing parenthesis, wanted a list, a word or text")
		case r == ')':
			p.advance(r, size)
			return nodes, nil
		}
		node, err := p.node(depth)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
}

// node parses the node that begins at the next character, in a list at that depth.
func (p *parser) node(depth int) (node Node, err error) {
	node.Place = p.at
	p.nodes++
	if p.nodes > MaxNodes {
		return Node{}, p.fail(p.at, "found more than %d lists, words and texts", MaxNodes)
	}
	switch r, size := p.peek(); r {
	case '(':
		if depth >= MaxDepth {
			return Node{}, p.fail(p.at, "found lists nested more than %d deep", MaxDepth)
		}
		p.advance(r, size)
		node.Kind = List
		node.Items, err = p.list(depth+1, node.Place)
	case '"':
		node.Kind = Text
		node.Value, err = p.text()
	default:
		node.Kind = Word
		node.Value, err = p.word()
	}
	return node, err
}

// word parses a word up to the first character that cannot be part of one.
func (p *parser) word() (string, error) {
	start := p.at
	first := p.offset
	for r, size := p.peek(); size > 0 && !strings.ContainsRune(" \t\r\n()\";", r); r, size = p.peek() {
		if r < ' ' || r == deleteCharacter || isInvalidUTF8(r, size) {
			return "", p.fail(p.at, "invalid character in a word: %q", p.src[p.offset])
		}
		p.advance(r, size)
	}
	word := p.src[first:p.offset]
	if len(word) > MaxText {
		return "", p.fail(start, "found a word of %d bytes, wanted at most %d", len(word), MaxText)
	}
	return string(word), nil
}

// isInvalidUTF8 reports whether utf8.DecodeRune returned these values for an invalid encoding.
func isInvalidUTF8(r rune, size int) bool { return r == utf8.RuneError && size == 1 }

// escapes maps the character after a backslash to the character that the escape denotes.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// text parses a quoted text, whose opening quote is the next character.
func (p *parser) text() (string, error) {
	start := p.at
	p.advance('"', 1)
	var content strings.Builder
	for {
		r, size := p.peek()
		switch {
		case size == 0:
			return "", p.fail(p.at, "the file ends within the text that began at %d:%d", start.Line, start.Column)
		case r == '\n':
			return "", p.fail(p.at, "the line ends within the text that began at %d:%d", start.Line, start.Column)
		case isInvalidUTF8(r, size) || r < ' ' && r != '\t' || r == deleteCharacter:
			return "", p.fail(p.at, "invalid character in text: %q", p.src[p.offset])
		case r == '"':
			p.advance(r, size)
			return content.String(), nil
		}
		r, err := p.textCharacter()
		if err != nil {
			return "", err
		}
		content.WriteRune(r)
		if content.Len() > MaxText {
			return "", p.fail(start, "found text of more than %d bytes", MaxText)
		}
	}
}

// textCharacter parses one character of a text, or one escape.
func (p *parser) textCharacter() (rune, error) {
	start := p.at
	r, size := p.peek()
	p.advance(r, size)
	if r != '\\' {
		return r, nil
	}
	escape, size := p.peek()
	denoted, known := escapes[escape]
	if !known {
		return 0, p.fail(start, `unknown escape \%c, wanted one of \" \\ \n \t`, escape)
	}
	p.advance(escape, size)
	return denoted, nil
}
