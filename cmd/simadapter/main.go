// Command simadapter runs instances of the decision module for the simulator, on standard input and output. It exits
// with 1 and a message on standard error at the first line that it cannot use.
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

// adapter has the open instances and the reply to the present batch.
type adapter struct {
	instances map[int]*instance
	actions   []admission.Action
	reply     bytes.Buffer
	clock     simwire.Message // the Sync of the present or the last batch
	inBatch   bool
}

// serve answers batches until the input ends. A reply is written completely or not at all.
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

// handle takes one line of input; the last of a batch has the reply written.
func (a *adapter) handle(line []byte, out io.Writer) error {
	msg, err := simwire.Read(line)
	switch {
	case err != nil:
		return err
	case (msg.Name == "Sync") == a.inBatch:
		return &misplacedMessageError{msg.Name}
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
	return a.event(a.clock.At, msg)
}

// event gives an event to its instance and adds what that decides to the reply.
func (a *adapter) event(now monotime.Micros, msg simwire.Message) error {
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

// decide stores the actions that follow from an event; a panic of the module becomes an error.
func (a *adapter) decide(inst *instance, now monotime.Micros, event admission.Event) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &panicError{r}
		}
	}()
	a.actions = inst.backend.Decide(now, event, a.actions[:0])
	return nil
}
