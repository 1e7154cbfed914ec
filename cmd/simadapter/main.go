// Command simadapter hosts instances of the decision module on the simulator's wire.
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
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

type instance struct {
	backend *admission.Backend
	gauges  []string
}

type host struct {
	open  map[int]*instance
	acts  []admission.Action
	reply bytes.Buffer
}

// serve answers batches until the input ends. A reply is written whole or not at all.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	h := &host{open: map[int]*instance{}}
	var clock simwire.Message
	inBatch := false
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF && len(bytes.TrimSpace(line)) == 0 {
			if inBatch {
				return fmt.Errorf("line %d: the input ends within batch %d", number, clock.Round)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		msg, err := simwire.Read(line)
		switch {
		case err != nil:
		case (msg.Name == "Sync") == inBatch:
			err = fmt.Errorf("%s out of place", msg.Name)
		case msg.Name == "Sync":
			clock, inBatch = msg, true
			h.reply.Reset()
		case msg.Name == "Commit":
			inBatch = false
			if err = simwire.WriteYield(&h.reply, clock.Round); err == nil {
				_, err = out.Write(h.reply.Bytes())
			}
		default:
			err = h.event(clock.At, msg)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

func (h *host) event(now admission.Micros, msg simwire.Message) error {
	inst := h.open[msg.Instance]
	if inst == nil {
		if _, opens := msg.Event.(simwire.InstanceOpened); !opens {
			return fmt.Errorf("%s: instance %d is not open", msg.Name, msg.Instance)
		}
	}
	var ev admission.Event = msg.Event
	switch e := msg.Event.(type) {
	case simwire.InstanceOpened:
		inst = &instance{backend: admission.New(e.Terms, e.Seed), gauges: e.Gauges}
		h.open[msg.Instance] = inst
		ev = admission.Opened{}
	case simwire.InstanceDetached:
		delete(h.open, msg.Instance)
		return nil
	case simwire.GaugeReading:
		ev = e.Reading(inst.gauges)
	}
	if err := h.decide(inst, now, ev); err != nil {
		return simwire.WriteFault(&h.reply, msg.Instance, err.Error())
	}
	for _, a := range h.acts {
		if err := simwire.WriteAction(&h.reply, msg.Instance, a); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) decide(inst *instance, now admission.Micros, ev admission.Event) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.New(fmt.Sprint(r))
		}
	}()
	h.acts = inst.backend.Decide(now, ev, h.acts[:0])
	return nil
}
