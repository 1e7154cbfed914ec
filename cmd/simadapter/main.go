// Command simadapter runs instances of the decision module for the simulator, on standard input and output. It exits
// with 1 and a message on standard error at the first invalid line.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"milletbarrow/admission"
	"milletbarrow/internal/simwire"
	"milletbarrow/monotime"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one open instance of the decision module.
type instance struct {
	backend *admission.Backend
	gauges  []string
}

// adapter holds the open instances and the reply to the current batch.
type adapter struct {
	instances map[int]*instance
	actions   []admission.Action
	reply     bytes.Buffer
	clock     simwire.Message // the Sync of the current or the last batch
	inBatch   bool
}

// serve answers batches until the input ends. A reply is written as a whole, at the Commit of its batch.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	a := &adapter{instances: map[int]*instance{}}
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		line = bytes.TrimSpace(line)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if a.inBatch {
				return &lineError{number, &truncatedBatchError{a.clock.Round}}
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return &lineError{number, err}
		}
		if len(line) == 0 {
			continue
		}
		if err := a.handle(line, out); err != nil {
			return &lineError{number, err}
		}
	}
}

// handle processes one line of input. The Commit of a batch writes the reply.
func (a *adapter) handle(line []byte, out io.Writer) error {
	msg, err := simwire.Read(line)
	switch {
	case err != nil:
		return err
	case (msg.Name == "Sync") == a.inBatch:
		return &unexpectedMessageError{msg.Name}
	case msg.Name == "Sync":
		a.clock, a.inBatch = msg, true
		a.reply.Reset()
		return nil
	case msg.Name == "Commit":
		a.inBatch = false
		if err := simwire.WriteYield(&a.reply, a.clock.Round); err != nil {
			return err
		}
		_, err := out.Write(a.reply.Bytes())
		return err
	}
	return a.handleEvent(a.clock.At, msg)
}

// handleEvent passes an event to its instance and appends the resulting actions to the reply.
func (a *adapter) handleEvent(now monotime.Micros, msg simwire.Message) error {
	inst := a.instances[msg.Instance]
	if inst == nil {
		if _, opens := msg.Event.(simwire.InstanceOpened); !opens {
			return &notOpenError{msg.Name, msg.Instance}
		}
	}
	var event admission.Event = msg.Event
	switch e := msg.Event.(type) {
	case simwire.InstanceOpened:
		inst = &instance{backend: admission.New(e.Config, e.Seed), gauges: e.Gauges}
		a.instances[msg.Instance] = inst
		event = admission.Opened{}
	case simwire.InstanceDetached:
		delete(a.instances, msg.Instance)
		return nil
	case simwire.GaugeReading:
		event = e.Reading(inst.gauges)
	}
	if err := a.decide(inst, now, event); err != nil {
		return simwire.WriteFault(&a.reply, msg.Instance, err.Error())
	}
	for _, action := range a.actions {
		if err := simwire.WriteAction(&a.reply, msg.Instance, action); err != nil {
			return err
		}
	}
	return nil
}

// decide stores the actions that result from an event. It returns a panic of the module as an error, so that one faulty
// instance does not end the others.
func (a *adapter) decide(inst *instance, now monotime.Micros, event admission.Event) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &panicError{r}
		}
	}()
	a.actions = inst.backend.Decide(now, event, a.actions[:0])
	return nil
}
