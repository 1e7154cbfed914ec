package main

import "strings"

// formerCommands are the sub-commands' former names, which go on working, by the path of today's names to each. Help
// does not list them.
var formerCommands = map[string]string{
	"levels":           "degradation",
	"lab":              "experiment",
	"trial":            "faults",
	"standin":          "fake",
	"fleet budgets":    "quotas",
	"fleet wave":       "rolling-update",
	"fleet rise":       "cold-start",
	"experiment rise":  "cold-start",
	"experiment speed": "benchmark",
	"experiment twin":  "validate",
	"fake farm":        "executor",
}

// formerFlags are the former names of flags, by the path of the command that has them. A supervisor goes on starting
// its instance with the former ones: that may be a program of an earlier version.
var formerFlags = map[string]map[string]string{
	"serve": {"inspect": "admin", "levels": "degradation", "draw": "quota"},
	"fleet rolling-update": {
		"width":       "max-unavailable",
		"least-count": "min-ready",
		"least-share": "min-ready-share",
		"failures":    "max-failures",
		"turned-away": "rejected-share",
		"turned-for":  "rejected-for",
		"abreast":     "max-hosts",
	},
	"fleet cold-start": {"say": "decision"},
	"fake executor":    {"takes": "service-time", "cold": "warm-up", "cold-share": "warm-up-share"},
}

// currentNames replaces former names in a command line, whose first word is the program. What follows "--" stays.
func currentNames(args []string) []string {
	if len(args) == 0 {
		return args
	}
	current := []string{args[0]}
	path, words := "", true // words: the next one may be a sub-command
	for i, arg := range args[1:] {
		switch {
		case arg == "--":
			return append(current, args[1+i:]...)
		case strings.HasPrefix(arg, "-"):
			words = false
			arg = currentFlag(path, arg)
		case words:
			name, group := currentCommand(path, arg)
			path, words, arg = strings.TrimSpace(path+" "+name), group, name
		}
		current = append(current, arg)
	}
	return current
}

// currentCommand is the current name of a sub-command; group reports whether it has sub-commands itself.
func currentCommand(path, name string) (current string, group bool) {
	full := strings.TrimSpace(path + " " + name)
	if now, former := formerCommands[full]; former {
		name = now
	}
	return name, path == ""
}

// currentFlag is a flag, with its value where that is part of the word, under its current name.
func currentFlag(path, arg string) string {
	dashes := arg[:len(arg)-len(strings.TrimLeft(arg, "-"))]
	name, value, valued := strings.Cut(arg[len(dashes):], "=")
	now, former := formerFlags[path][name]
	if !former {
		return arg
	}
	if valued {
		now += "=" + value
	}
	return dashes + now
}
