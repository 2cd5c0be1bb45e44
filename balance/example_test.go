package balance_test

import (
	"fmt"

	"cindersaddle/balance"
)

// A caller passes events to the balancer and performs the actions that it returns.
func Example() {
	b := balance.New(balance.Config{
		Seed: 1, MaxAttempts: 2,
		Classes: []balance.Class{
			{Idempotency: balance.Idempotent, LatencyObjective: 100, Deadline: 400, PriorityWeight: 1},
		},
	})
	b.Start(0)
	handle := func(now balance.Milliseconds, ev balance.Event) {
		actions, err := b.Handle(now, ev)
		if err != nil {
			fmt.Println("invalid event:", err)
		}
		for _, a := range actions {
			switch a.Kind {
			case balance.SendAttempt:
				fmt.Printf("%v ms: send request %d to endpoint %d\n", now, a.Request, a.Endpoint)
			case balance.SetTimer:
				fmt.Printf("%v ms: timer %d in %v ms\n", now, a.Token, a.Delay)
			case balance.RejectRequest:
				fmt.Printf("%v ms: reject request %d\n", now, a.Request)
			}
		}
	}
	handle(0, balance.EndpointUpdate{Kind: balance.UpdateSnapshot,
		Endpoints: []balance.Endpoint{{ID: 10, Rating: 1}, {ID: 20, Rating: 1}}})
	handle(5, balance.Request{ID: 1, Remaining: 300})
	handle(6, balance.Outcome{Request: 1, Endpoint: 20, Result: balance.Rejected, Duration: 1})
	handle(9, balance.Outcome{Request: 1, Attempt: 1, Endpoint: 10, Result: balance.OK, Duration: 3, Finished: true})
	// Output:
	// 5 ms: send request 1 to endpoint 10
	// 5 ms: timer 1 in 100 ms
	// 6 ms: send request 1 to endpoint 20
}
