package quotastore

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

const benchRequests = 10 // lease requests in each renewal

// hostRenewal returns a renewal for benchRequests backends of one host.
func hostRenewal(host int, number uint64) quota.Command {
	command := &quota.RenewCommand{Host: fmt.Sprint("h", host)}
	for i := range benchRequests {
		command.Requests = append(command.Requests, backendquota.LeaseRequest{
			Name:        fmt.Sprint("n", host*benchRequests+i),
			Incarnation: "1",
			Number:      number,
			Clock:       monotime.Micros(number) * monotime.Millisecond,
			Usage:       []backendquota.Usage{{Budget: "b"}},
		})
	}
	return quota.Command{Renew: command}
}

// BenchmarkRenew measures renewals per second through all members of a group. Each renewal is for one host with ten
// backends, and is durable on the disks of a majority before the call returns.
func BenchmarkRenew(b *testing.B) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, members := range []int{1, 3, 5} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			g := newGroup(b, members)
			g.config = rateConfig(3 * monotime.Second)
			limit := &g.config.Limits[0]
			limit.Total = 100_000
			limit.Division = quota.DivideByDemand
			limit.Floors = map[quota.InstanceName]int64{}
			for i := range 5000 {
				limit.Floors[quota.InstanceName(fmt.Sprint("n", i))] = 1
			}
			g.startAll()
			var hosts atomic.Int64
			b.SetParallelism(16)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				host := int(hosts.Add(1))
				node := g.node(g.names[host%members])
				for number := uint64(1); pb.Next(); number++ {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					result, err := node.Do(ctx, hostRenewal(host, number))
					cancel()
					if err != nil || len(result.Answers) != benchRequests {
						b.Errorf("%d answers, %v, rejection %q", len(result.Answers), err, result.Rejection)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
		})
	}
}
