// Package roster keeps a backend on the list that edge nodes go by.
package roster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/url"
	"sync"
	"time"

	"milletbarrow/limit"
)

// Reporter reports at intervals, from its own goroutine; nothing waits for it.
type Reporter struct {
	url    string
	bounds limit.Bounds
	client *http.Client
	off    chan struct{}
	once   sync.Once
}

// New makes a reporter for the backend of that name.
func New(address, name string, bounds limit.Bounds) *Reporter {
	return &Reporter{
		url: "http://" + address + "/roster/" + url.PathEscape(name), bounds: bounds, off: make(chan struct{}),
		client: &http.Client{
			Timeout:       bounds.Call,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 4 * bounds.Report,
				MaxResponseHeaderBytes: int64(bounds.Line),
			},
		},
	}
}

// Off makes the next report, sent at once, the last: the entry lapses after it.
func (r *Reporter) Off() { r.once.Do(func() { close(r.off) }) }

// Keep reports until Off, or until the context ends.
func (r *Reporter) Keep(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	due := time.NewTimer(0)
	defer due.Stop()
	well := true
	for {
		duty := "on"
		select {
		case <-ctx.Done():
			return
		case <-r.off:
			duty = "off"
		case <-due.C:
		}
		began := time.Now()
		err := r.report(ctx, duty)
		if ctx.Err() == nil && (err == nil) != well {
			well = err == nil
			log.Printf("event=roster reported=%t error=%q", well, fmt.Sprint(err))
		}
		if duty == "off" {
			return
		}
		due.Reset(max(0, r.bounds.Report-time.Since(began)))
	}
}

func (r *Reporter) report(ctx context.Context, duty string) error {
	body := bytes.NewReader([]byte(`{"duty":"` + duty + `"}`))
	call, err := http.NewRequestWithContext(ctx, http.MethodPut, r.url, body)
	if err != nil {
		return err
	}
	answer, err := r.client.Do(call)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	io.CopyN(io.Discard, answer.Body, int64(r.bounds.Line)) // so that the connection can be used again
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}
