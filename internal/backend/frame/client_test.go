package frame

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// A backend reads the invocation that a caller has written, and a caller reads the backend's answer. A truncated
// frame is not taken for a complete one.
func TestCallerAndBackendAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawInvocation(t)
		text := AppendInvocation(nil, 7, &sent)
		for n := range len(text) {
			if _, _, size, err := SplitFrame(text[:n], maxLength); size != 0 || err != nil {
				t.Fatalf("truncated after %d bytes: size %d, %v; want 0, no error", n, size, err)
			}
		}
		h, payload, size, err := SplitFrame(append(text, "more"...), maxLength)
		if err != nil || size != len(text) || h.Kind != KindInvocation || h.Stream != 7 {
			t.Fatalf("%+v, %d bytes of %d, %v", h, size, len(text), err)
		}
		received, err := ReadInvocation(payload, 2<<10)
		if err != nil {
			t.Fatal(err)
		}
		if !sameInvocation(&sent, &received) {
			t.Fatalf("wrote %+v, read %+v", sent, received)
		}
		checkAnswerRoundTrip(t, sent.Body)
	})
}

func drawInvocation(t *rapid.T) OutgoingInvocation {
	return OutgoingInvocation{
		Operation:     rapid.StringMatching(`[a-z-]{1,20}`).Draw(t, "operation"),
		ID:            rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id"),
		Tenant:        rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "tenant"),
		ArrivedAt:     rapid.Int64Range(0, 3e13).Draw(t, "arrived at"),
		CallerTimeout: monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "timeout")),
		Retry:         rapid.Bool().Draw(t, "retry"),
		ExpectedWork:  monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "work")),
		MemoryKB:      20,
		Priority:      0.25,
		Body:          rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body"),
	}
}

// agree reports whether an invocation was received as it was sent.
func sameInvocation(sent *OutgoingInvocation, received *Invocation) bool {
	return string(received.Operation) == sent.Operation &&
		string(received.ID) == sent.ID &&
		string(received.Tenant) == sent.Tenant &&
		received.ArrivedAt == monotime.Micros(sent.ArrivedAt)*monotime.Millisecond &&
		received.CallerTimeout == sent.CallerTimeout &&
		received.Retry == sent.Retry &&
		received.ExpectedWork == sent.ExpectedWork &&
		received.MemoryKB == sent.MemoryKB &&
		received.Priority == sent.Priority &&
		bytes.Equal(received.Body, sent.Body)
}

// checkAnswer writes an answer with this body and reads it.
func checkAnswerRoundTrip(t *rapid.T, body []byte) {
	retryAfter := monotime.Micros(rapid.Int64Range(0, 1e6).Draw(t, "retry after")) * monotime.Millisecond
	dontRetry := rapid.Bool().Draw(t, "don't retry")
	_, payload, _, err := SplitFrame(AppendAnswer(nil, 7, Throttled, retryAfter, dontRetry, body), maxLength)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := ReadAnswer(payload)
	if err != nil || answer.Code != Throttled || answer.RetryAfter != retryAfter || answer.DontRetry != dontRetry ||
		!bytes.Equal(answer.Body, body) {
		t.Fatalf("%+v, %v", answer, err)
	}
}

// A Retry-After that is not a time in milliseconds is refused.
func TestInvalidRetryAfterIsRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		value string
		want  error
	}{
		{"text", "soon", ErrNotNumber},
		{"empty", "", ErrNotNumber},
		{"negative", "-1", ErrOutOfRange},
		{"beyond 32 bits", "2147483648", ErrNotNumber},
	} {
		t.Run(test.name, func(t *testing.T) {
			payload := []byte(string(byte(Throttled)) + fakes.EncodeFields("after="+test.value))
			_, err := ReadAnswer(payload)
			var field *FieldError
			if !errors.As(err, &field) || field.Field != "after" || !errors.Is(err, test.want) {
				t.Errorf("%v, want field after, %v", err, test.want)
			}
		})
	}
}

// No payload makes ReadAnswer panic, and the body of an answer is within its payload.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte{1, 0})
	f.Add([]byte{2, 1, 5, 'a', 'f', 't', 'e', 'r', 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if answer, err := ReadAnswer(payload); err == nil && len(answer.Body) > len(payload) {
			t.Error("the body is longer than the payload")
		}
	})
}
