package main

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/limits"
)

func limitsCommand() *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "print the limits that follow from a configuration", Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			b, err := readConfiguration(c)
			if err == nil {
				fmt.Println(formatBounds(boundsOf(b)))
			}
			return err
		},
	}
}

// printedBounds maps the names of fields to the names that are printed for them, where they differ: the output keeps
// the names of earlier releases.
var printedBounds = map[string]string{
	"ConnectionsHighWater": "Roomy",
	"ClosingConnections":   "Leaving",
	"FrameSize":            "Frame",
	"InvocationFrameSize":  "Content",
	"BodySize":             "Body",
	"ResultSize":           "Result",
	"LineSize":             "Line",
	"UnsentPerConnection":  "Unsent",
	"UnsentTotal":          "UnsentAll",
	"IdempotencyCacheSize": "Kept",
	"IdempotencyKeySize":   "Token",
	"OutputBuffer":         "Spare",
	"PartialFrameBuffer":   "Part",
	"ReadBuffer":           "Input",
	"ReceiveBuffer":        "Received",
	"InvalidFrames":        "Unfit",
	"SampleTimeout":        "SampleWait",
	"SampleMaxAge":         "SampleOld",
	"StallThreshold":       "HeldUp",
	"DialTimeout":          "Dial",
	"RedialMin":            "RedialLeast",
	"RedialMax":            "RedialMost",
	"ExecutorSilence":      "LinkSilent",
	"ExecutorAbsence":      "LinkMissed",
	"ReportInterval":       "Report",
	"DeregisterRetry":      "ReportAgain",
	"ReportRetryMin":       "ReportLeast",
	"ReportRetryRefused":   "ReportClosed",
	"ReportRetryInitial":   "ReportFirst",
	"ReportRetryMax":       "ReportMost",
	"RetryAfterMax":        "ReportAdvice",
	"RegistrationTTL":      "Lapse",
	"ReportTimeout":        "Call",
	"ReportsInFlight":      "Reports",
	"BindTimeout":          "Bind",
	"BindRetry":            "Rebind",
	"WriteTimeout":         "Unread",
	"SweepInterval":        "Sweep",
	"NewConnectionAge":     "Fresh",
	"IdleAge":              "Rests",
	"LingerTimeout":        "Linger",
	"AcceptQueueTimeout":   "Queued",
	"FrameTimeout":         "Hello",
	"ReplayRetryAfter":     "ComeBack",
	"LogInterval":          "Quiet",
	"NoticeDelay":          "NoticeLate",
	"ReloadRetry":          "Reread",
	"ReloadAttempts":       "Rereads",
	"RejectBeforeStop":     "Parting",
	"ExitMargin":           "LastWords",
	"ExitMarginUnwritten":  "LastChance",
}

// formatBounds prints bounds as {NAME:VALUE NAME:VALUE ...}, in the order of the fields.
func formatBounds(b limits.Bounds) string {
	value := reflect.ValueOf(b)
	parts := make([]string, 0, value.NumField())
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		if printed, ok := printedBounds[name]; ok {
			name = printed
		}
		parts = append(parts, fmt.Sprintf("%s:%v", name, value.Field(i)))
	}
	return "{" + strings.Join(parts, " ") + "}"
}
