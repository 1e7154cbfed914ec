package sexpr

import (
	"fmt"
	"testing"
)

// TestFormerNamesDependOnEnclosingForm checks that a name is replaced only within the form in which it is a former
// name.
func TestFormerNamesDependOnEnclosingForm(t *testing.T) {
	names := FormerNames{
		"":               {"ladder": "degradation"},
		"degradation":    {"every": "change-interval"},
		"rolling-update": {"width": "max-unavailable"},
		"fleet":          {"wave": "rolling-update"},
	}
	for _, test := range []struct {
		name     string
		source   string
		want     string
		warnings []string
	}{
		{
			name:   "current name",
			source: "(degradation d (change-interval 1s))",
			want:   "(degradation d (change-interval 1s))",
		},
		{
			name:   "former names in former forms",
			source: "(fleet f\n (wave (width 2)))",
			want:   "(fleet f (rolling-update (max-unavailable 2)))",
			warnings: []string{
				`f.sx:2:3: "wave" is a former name: write "rolling-update"`,
				`f.sx:2:9: "width" is a former name: write "max-unavailable"`,
			},
		},
		{
			name:   "the same word in another form, as an argument and as text",
			source: `(scenario wave (width 2) ("wave")) wave`,
			want:   `(scenario wave (width 2) ("wave")) wave`,
		},
		{
			name:   "a list without a name beside it",
			source: "() (ladder l (every 1s)) ((every 2s))",
			want:   "() (degradation l (change-interval 1s)) ((every 2s))",
			warnings: []string{
				`f.sx:1:5: "ladder" is a former name: write "degradation"`,
				`f.sx:1:15: "every" is a former name: write "change-interval"`,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			nodes, err := Parse("f.sx", []byte(test.source))
			if err != nil {
				t.Fatal(err)
			}
			warnings := names.Update("f.sx", nodes)
			if got, want := fmt.Sprint(warnings), fmt.Sprint(test.warnings); got != want {
				t.Errorf("warnings %s, want %s", got, want)
			}
			text := ""
			for i, node := range nodes {
				if i > 0 {
					text += " "
				}
				text += node.String()
			}
			if text != test.want {
				t.Errorf("updated to %s, want %s", text, test.want)
			}
		})
	}
}
