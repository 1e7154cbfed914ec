package fleet

import (
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// Defaults of the (group ...) form.
const (
	defaultStartWithin  = 30 * time.Second
	defaultSettle       = time.Second
	defaultMaxLaunches  = 3
	defaultLaunchWindow = time.Minute
)

const (
	maxLaunchesLimit = 1000   // bound of (restart (max N))
	maxRange         = 10_000 // bound of the instances of one range

	namePlaceholder = "%n" // replaced by the instance's name in a configuration's path
)

// readGroup reads a (group ...) form; relative paths in it are relative to dir.
func (r *specReader) readGroup(form *sexpr.Form, dir string) {
	r.attribute(SpecSubject{})
	group := GroupSpec{
		Name:         readName(form),
		Host:         form.Text("host", ""),
		Labels:       form.Words("labels"),
		StartWithin:  monotime.FromDuration(form.Span("start-within", minSpan, maxSpan, defaultStartWithin)),
		Settle:       monotime.FromDuration(form.Span("settle", 0, maxSpan, defaultSettle)),
		MaxLaunches:  defaultMaxLaunches,
		LaunchWindow: monotime.FromDuration(defaultLaunchWindow),
	}
	if restart := form.Field("restart"); restart != nil {
		group.MaxLaunches = restart.Int("max", 0, maxLaunchesLimit, group.MaxLaunches)
		group.LaunchWindow = monotime.FromDuration(restart.Span("within", minSpan, maxSpan, defaultLaunchWindow))
		restart.Done()
	}
	if group.Host == "" && len(r.Hosts) == 1 {
		group.Host = r.Hosts[0].Name
	}
	if r.Host(group.Host) == nil {
		form.Fail("host", "unknown host %q", group.Host)
	}
	if r.Group(group.Name) != nil {
		form.Fail("", "duplicate group %q", group.Name)
	}
	config := absolutePath(dir, form.Text("config", ""))
	if config == "" {
		form.Fail("config", "missing, wanted the configuration's path, with %%n for the instance's name")
	}
	group.DegradationFile = absolutePath(dir, form.Text("degradation", ""))
	names := append(form.Words("instances"), readRange(form)...)
	if len(names) > 1 && config != "" && !strings.Contains(config, namePlaceholder) {
		form.Fail("config", "found %q for %d instances, wanted %%n in it", config, len(names))
	}
	r.addInstances(form, &group, config, "instances", names)
	r.addInstances(form, &group, config, "spares", form.Words("spares"))
	if len(group.Instances) == 0 {
		form.Fail("", "found no instance, wanted at least one")
	}
	form.Done()
	r.attribute(SpecSubject{Group: group.Name})
	r.Groups = append(r.Groups, group)
}

// absolutePath joins a relative path to a directory. An empty path stays empty.
func absolutePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// addInstances adds the instances that a field of a group lists.
func (r *specReader) addInstances(form *sexpr.Form, group *GroupSpec, config, field string, names []string) {
	r.attribute(SpecSubject{Group: group.Name})
	for _, name := range names {
		if err := CheckName(name); err != nil {
			form.Fail(field, "%v", err)
			r.attribute(SpecSubject{Group: group.Name, Instance: name})
			continue
		}
		if r.instances[name] != nil {
			form.Fail(field, "duplicate instance %q", name)
			r.attribute(SpecSubject{Group: group.Name, Instance: name})
			continue
		}
		r.instances[name] = &InstanceSpec{
			Name:            name,
			Host:            group.Host,
			Group:           group.Name,
			ConfigFile:      strings.ReplaceAll(config, namePlaceholder, name),
			DegradationFile: group.DegradationFile,
			Spare:           field == "spares",
			Labels:          group.Labels,
		}
		group.Instances = append(group.Instances, name)
	}
}

// readRange reads the names of a range: (range n 1 40) is n1 to n40.
func readRange(form *sexpr.Form) (names []string) {
	const wordCount = 3
	rangeForm := form.Field("range")
	if rangeForm == nil {
		return nil
	}
	words := rangeForm.Args(wordCount, wordCount)
	rangeForm.Done()
	if len(words) != wordCount {
		return nil
	}
	prefix := words[0]
	first, errFirst := strconv.Atoi(words[1])
	last, errLast := strconv.Atoi(words[2])
	if errFirst != nil || errLast != nil || first < 0 || last < first || last-first >= maxRange {
		form.Fail("range", "found %q, wanted a name and the first and the last number", strings.Join(words, " "))
		return nil
	}
	for n := first; n <= last; n++ {
		names = append(names, prefix+strconv.Itoa(n))
	}
	return names
}
