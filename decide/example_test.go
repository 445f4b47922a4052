package decide_test

import (
	"fmt"

	"pewterwheel/decide"
)

// A node receives a list with one server and one call, sends the call, and is told that it is established.
func Example() {
	set := decide.Settings{
		Instances: 2,
		Classes:   []decide.Class{{Aim: 1_500_000, Deadline: 8_000_000, Worth: 1, LateWorth: 0.2}},
		Rules: decide.Rules{AnswerSlack: 20_000, StartCapacity: 0.4, ColdTime: 8_000_000, FallMultiple: 2,
			FallTime: 1_000_000, GuardTime: 300_000},
		Quantum: 5_000, MaxTries: 4, MayCancel: true, HomePlace: -1,
	}
	node, err := decide.New(set, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := int64(1_000_000)
	step := func(e decide.Event) {
		for _, a := range node.Step(now, e, nil) {
			switch a.Kind {
			case decide.Send:
				fmt.Printf("send call %d to %s\n", a.Call, a.Server)
			case decide.Refuse, decide.Fail:
				fmt.Printf("answer call %d: not set up\n", a.Call)
			case decide.StartTimer:
				// Send TimerFired with a.Token after a.Wait.
			}
		}
	}
	step(decide.Event{Kind: decide.NodeStarted})
	step(decide.Event{Kind: decide.ListUpdate, Form: decide.ListFull,
		Servers: []decide.Listed{{ID: "core-1", Place: 0, State: decide.Up, Share: 1}}})
	step(decide.Event{Kind: decide.CallArrived, Call: 1, Destination: 0, Key: "555 0100", Deadline: now + 3_000_000})
	now += 40_000
	step(decide.Event{Kind: decide.SetUpCompleted, Call: 1, Server: "core-1", Elapsed: 40_000})
	// Output: send call 1 to core-1
}
