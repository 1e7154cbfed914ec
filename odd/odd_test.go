package odd

import (
	"bytes"
	"errors"
	"log"
	"os"
	"testing"
	"time"

	"milletbarrow/standin"
)

// TestNote: a peer that errs a thousand times gets one line, and the next line tells how often it was.
func TestNote(t *testing.T) {
	tr := standin.NewTrace(t)
	var text bytes.Buffer
	log.SetOutput(&text)
	log.SetFlags(0)
	defer log.SetOutput(os.Stderr)
	tally := New(time.Hour)
	for range 1000 {
		tally.Note("borders", errors.New("frame length 4"))
	}
	tally.Note("kind", nil)
	tally.quiet = 0
	tally.Note("borders", errors.New("frame length 3"))
	tr.Say("%s", text.String())
}
