package main

import (
	"fmt"
	"log/slog"
	"os"

	"milletbarrow/internal/sexpr"
)

// printFormerNames prints a warning to standard error for each former name that a file uses.
func printFormerNames(warnings []sexpr.Warning) {
	for _, warning := range warnings {
		fmt.Fprintln(os.Stderr, warning)
	}
}

// logFormerNames logs each former name that a file uses, with the current name.
func logFormerNames(warnings []sexpr.Warning) {
	for _, w := range warnings {
		slog.Warn("former_name", "file", w.File, "line", w.Line, "former", w.Former, "name", w.Name)
	}
}
