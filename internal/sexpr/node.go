package sexpr

import (
	"strings"
	"unicode/utf8"
)

// Kind is the kind of a node.
type Kind int

// The kinds.
const (
	List Kind = iota
	Word
	Text
)

func (k Kind) String() string { return [...]string{"a list", "a word", "text"}[k] }

// Place is a position in a file; both count from 1, columns in characters.
type Place struct{ Line, Column int }

// Node is a list, a word or text.
type Node struct {
	Place
	Kind  Kind
	Value string // of a word or text
	Items []Node // of a list
}

// String formats the node on one line, as Parse reads it.
func (n Node) String() string {
	switch n.Kind {
	case Word:
		return n.Value
	case Text:
		return quoted(n.Value)
	}
	parts := make([]string, len(n.Items))
	for i, item := range n.Items {
		parts[i] = item.String()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// Quote formats text so that Parse reads it back: as a word where it can be one, else in quotes.
func Quote(s string) string {
	plain := s != "" && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r == 0x7f || strings.ContainsRune(`()";`, r)
	})
	if plain {
		return s
	}
	return quoted(s)
}

func quoted(s string) string {
	return `"` + strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}
