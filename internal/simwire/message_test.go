package simwire

import (
	"strings"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// maxObjective is the greatest latency objective that a line can state.
const maxObjective monotime.Micros = 1e15

// FuzzRead checks that every line is an error or a message with the event that its name requires.
func FuzzRead(f *testing.F) {
	f.Add(`{"Sync":{"at_time_ms":8412.25,"round":12}}`)
	f.Add(`{"Req":{"i":3,"req":"b96f57e15d3a91c4","hint_ms":12.0,"service":0,"waited_ms":1.85,"kb":24.5,"earlier":0}}`)
	f.Add(`{"Alarm":{"i":3,"token":77,"feedback":[0.62,3,0.41,120]}}`)
	f.Add(`{"OpenInstance":{"i":3,"init_seed":1,"settings":` + strings.ReplaceAll(fakes.Settings, "\n", " ") + `}}`)
	f.Fuzz(func(t *testing.T, line string) {
		msg, err := Read([]byte(line))
		if err != nil || msg.Name == "Sync" || msg.Name == "Commit" {
			return
		}
		switch event := msg.Event.(type) {
		case nil:
			t.Fatalf("%q decodes to %s without an event", line, msg.Name)
		case admission.Arrived:
			if event.ID == "" {
				t.Fatalf("%q decodes to an arrival without an id", line)
			}
		case InstanceOpened:
			operations := event.Config.Operations
			if len(operations) != 0 && operations[0].Objective > maxObjective {
				t.Fatalf("%q decodes to a latency objective of %d µs", line, operations[0].Objective)
			}
		}
	})
}
