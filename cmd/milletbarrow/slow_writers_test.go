package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// TestHealthChecksAreAnsweredBesideSlowWriters: 450 clients write the head of an invocation slowly and come again when
// they are closed, more than the backend has connections for. A health check on a connection of its own is answered.
func TestHealthChecksAreAnsweredBesideSlowWriters(t *testing.T) {
	const clients, length, interval = 450, 10 * time.Second, 100 * time.Millisecond
	b := prepare(t, `"memory_mb":192`, `"memory_mb":32`, `"sockets":1024`, `"sockets":512`).start().ready()
	done := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() { writeSlowly(b.address, done) })
	}
	failed := make(chan error, length/interval)
	for range length / interval {
		running.Go(func() { failed <- checkHealth(b.address) })
		time.Sleep(interval)
	}
	close(done)
	running.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			t.Error(err)
		}
	}
}

// writeSlowly writes the head of an invocation with many short fields in small pieces, on one connection after another.
func writeSlowly(address string, done <-chan struct{}) {
	const pairs, piece, pause = 120, 40, 30 * time.Millisecond
	fields := fakes.EncodeFields(strings.Split(strings.Repeat("f=x g=y ", pairs)[:pairs*8-1], " ")...)
	text := fakes.EncodeFrame(10, 1, fields+strings.Repeat("x", 2000))
	for {
		conn, err := net.Dial("tcp", address)
		for i := 0; err == nil && i < len(text); i += piece {
			_, err = conn.Write([]byte(text[i:min(len(text), i+piece)]))
			select {
			case <-done:
				_ = conn.Close()
				return
			case <-time.After(pause):
			}
		}
		if conn != nil {
			_ = conn.Close()
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// checkHealth makes a health check on a new connection, and returns why it has no answer within a second.
func checkHealth(address string) error {
	const timeout = time.Second
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(timeout))
	if _, err = conn.Write([]byte(fakes.EncodeFrame(20, 1, "\x00"))); err == nil {
		_, err = conn.Read(make([]byte, 64))
	}
	if err != nil {
		return fmt.Errorf("health check not answered after %v: %w", time.Since(began), err)
	}
	return nil
}
