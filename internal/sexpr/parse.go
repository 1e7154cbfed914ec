// Package sexpr parses configuration files written as S-expressions. Each node has its line and column, so that an error can say
// where it is, what was found and what was wanted. It does no I/O and knows no file's meaning.
//
//	; a comment runs to the end of its line
//	(group counter (instances n1 n2) (settle 2s) (label "front row"))
//
// A word is a sequence of characters other than space, brackets, quotes and semicolons. Text is in double quotes,
// where \" \\ \n and \t are escapes.
package sexpr

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits of a file; beyond them Parse returns an error and no nodes. MaxBytes and MaxText are in bytes.
const (
	MaxBytes = 1 << 20
	MaxDepth = 32
	MaxNodes = 200_000
	MaxText  = 4 << 10
)

// Parse parses all of src; file is its name in errors. The error is an *Error.
func Parse(file string, src []byte) ([]Node, error) {
	p := parser{file: file, src: src, at: Place{1, 1}}
	if len(src) > MaxBytes {
		return nil, p.fail(p.at, "%d bytes, at most %d can be read", len(src), MaxBytes)
	}
	nodes, err := p.list(0, Place{})
	if err != nil {
		return nil, err
	}
	return nodes, nil
}

// parser is at one position of a file.
type parser struct {
	file  string
	src   []byte
	next  int // offset of the next byte
	at    Place
	nodes int // parsed so far
}

func (p *parser) fail(at Place, format string, args ...any) error {
	return &Error{File: p.file, Place: at, Message: fmt.Sprintf(format, args...)}
}

// peek returns the next character and its size in bytes, which is 0 at the end.
func (p *parser) peek() (r rune, size int) {
	if p.next >= len(p.src) {
		return 0, 0
	}
	return utf8.DecodeRune(p.src[p.next:])
}

// advance moves behind a character.
func (p *parser) advance(r rune, size int) {
	p.next += size
	if p.at.Column++; r == '\n' {
		p.at = Place{p.at.Line + 1, 1}
	}
}

// list parses nodes up to the closing bracket, or at depth 0 up to the end.
func (p *parser) list(depth int, opened Place) (nodes []Node, err error) {
	for {
		r, size := p.peek()
		start := p.at
		switch {
		case size == 0 && depth == 0:
			return nodes, nil
		case size == 0:
			return nil, p.fail(start, "the file ends within the list that began at %d:%d", opened.Line, opened.Column)
		case r == ')' && depth == 0:
			return nil, p.fail(start, "a closing bracket without an opening one")
		case r == ')':
			p.advance(r, size)
			return nodes, nil
		case r == ' ' || r == '\t' || r == '\n' || r == '\r':
			p.advance(r, size)
			continue
		case r == ';':
			for ; size > 0 && r != '\n'; r, size = p.peek() {
				p.advance(r, size)
			}
			continue
		}
		if p.nodes++; p.nodes > MaxNodes {
			return nil, p.fail(start, "more than %d words and lists", MaxNodes)
		}
		n := Node{Place: start}
		switch r {
		case '(':
			if depth >= MaxDepth {
				return nil, p.fail(start, "lists more than %d deep", MaxDepth)
			}
			p.advance(r, size)
			n.Items, err = p.list(depth+1, start)
		case '"':
			n.Kind = Text
			n.Value, err = p.text()
		default:
			n.Kind = Word
			n.Value, err = p.word()
		}
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
}

// word parses a word up to the character that ends it.
func (p *parser) word() (string, error) {
	start, from := p.at, p.next
	for r, size := p.peek(); size > 0 && !strings.ContainsRune(" \t\r\n()\";", r); r, size = p.peek() {
		if r < ' ' || r == 0x7f || r == utf8.RuneError && size == 1 {
			return "", p.fail(p.at, "a character that can't stand in a word: %q", p.src[p.next])
		}
		p.advance(r, size)
	}
	if p.next-from > MaxText {
		return "", p.fail(start, "a word of %d bytes, at most %d can be read", p.next-from, MaxText)
	}
	return string(p.src[from:p.next]), nil
}

// escapes are the characters that stand for themselves or for white space after a backslash.
var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

// text parses a quoted text.
func (p *parser) text() (string, error) {
	start := p.at
	p.advance('"', 1)
	var b strings.Builder
	for {
		r, size := p.peek()
		switch {
		case size == 0:
			return "", p.fail(p.at, "the file ends within the text that began at %d:%d", start.Line, start.Column)
		case r == '\n':
			return "", p.fail(p.at, "the line ends within the text that began at %d:%d", start.Line, start.Column)
		case r == utf8.RuneError && size == 1 || r < ' ' && r != '\t' || r == 0x7f:
			return "", p.fail(p.at, "a character that can't stand in text: %q", p.src[p.next])
		}
		at := p.at
		p.advance(r, size)
		if r == '"' {
			return b.String(), nil
		}
		if r == '\\' {
			c, size := p.peek()
			if r = escapes[c]; r == 0 {
				return "", p.fail(at, `\%c is no escape; \" \\ \n \t are`, c)
			}
			p.advance(c, size)
		}
		if b.WriteRune(r); b.Len() > MaxText {
			return "", p.fail(start, "text of more than %d bytes", MaxText)
		}
	}
}
