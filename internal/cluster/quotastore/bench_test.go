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

// BenchmarkRenew measures renewals a second through any member of a group, each of one host with ten backends and
// durable on a majority's disks before it is answered.
func BenchmarkRenew(b *testing.B) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGroup(b, n)
			floors := map[quota.InstanceName]int64{}
			for i := range 5000 {
				floors[quota.InstanceName(fmt.Sprint("n", i))] = 1
			}
			g.config = &quota.Config{Version: 1, Limits: []quota.Limit{{
				Name: "b", Kind: quota.Rate, Total: 100_000, Floors: floors, Division: quota.DivideByDemand, Step: 1, Lease: 3_000_000, ClockMargin: 150_000, Tenant: "t",
			}}}
			for _, name := range g.names {
				g.start(name)
			}
			defer g.stopAll()
			g.view(20*time.Second, anyLeader)
			var host atomic.Int64
			b.SetParallelism(16)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				me := int(host.Add(1))
				node := g.node(g.names[me%n])
				name := fmt.Sprint("h", me)
				for number := uint64(1); pb.Next(); number++ {
					c := &quota.RenewCommand{Host: name}
					for i := range 10 {
						c.Requests = append(c.Requests, backendquota.LeaseRequest{
							Name: fmt.Sprint("n", me*10+i), Incarnation: "1", Number: number, Clock: monotime.Micros(number * 1000), Usage: []backendquota.Usage{{Budget: "b"}},
						})
					}
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					if res, err := node.Do(ctx, quota.Command{Renew: c}); err != nil || len(res.Answers) != 10 {
						b.Error(err, res.Rejection)
					}
					cancel()
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
		})
	}
}
