package main

import "strings"

// formerCommands maps the former names of sub-commands to the current ones. A key is the current path of the parent and
// the former name. Former names are still accepted; help does not list them.
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

// formerFlags maps the former names of flags to the current ones, by the current path of the command. A supervisor
// passes the former names to its instance, whose program may be of an earlier version.
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

// currentNames replaces former names in a command line, whose first word is the program. Words after "--" stay.
func currentNames(args []string) []string {
	if len(args) == 0 {
		return args
	}
	current := []string{args[0]}
	path, mayBeCommand := "", true // whether the next word may be a sub-command
	for i, arg := range args[1:] {
		switch {
		case arg == "--":
			return append(current, args[1+i:]...)
		case strings.HasPrefix(arg, "-"):
			mayBeCommand = false
			arg = currentFlag(path, arg)
		case mayBeCommand:
			name, group := currentCommand(path, arg)
			path, mayBeCommand, arg = strings.TrimSpace(path+" "+name), group, name
		}
		current = append(current, arg)
	}
	return current
}

// currentCommand returns the current name of a sub-command; group reports whether it has sub-commands itself.
func currentCommand(path, name string) (current string, group bool) {
	full := strings.TrimSpace(path + " " + name)
	if replacement, former := formerCommands[full]; former {
		name = replacement
	}
	return name, path == ""
}

// currentFlag returns a flag under its current name, with the value if it is part of the argument (--name=value).
func currentFlag(path, arg string) string {
	dashes := arg[:len(arg)-len(strings.TrimLeft(arg, "-"))]
	name, value, hasValue := strings.Cut(arg[len(dashes):], "=")
	current, former := formerFlags[path][name]
	if !former {
		return arg
	}
	if hasValue {
		current += "=" + value
	}
	return dashes + current
}
