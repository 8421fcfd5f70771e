package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// boardWork is the work of a call at the service board.
const boardWork = 90 * time.Millisecond

// limitedBoard returns a configuration without a surge in which two kinds of requests
// meet at the servers of the service board: browses go there themselves, and the more
// important confirmations through the service bookings. Its capacity is the rate of
// requests that occupies all slots of board. The demand is a multiple of it.
func limitedBoard(demand float64, duration time.Duration) Config {
	const servers, slots = 4, 10
	d := Deployment{
		Name: "limited-board",
		Tiers: []Tier{
			{"board", servers, slots, 100, boardWork},
			{"bookings", 3, 60, 300, 20 * time.Millisecond},
		},
		RequestKinds: []RequestKind{
			{Class: "confirm", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 30, Deadline: 6 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
			{Class: "browse", Importance: 4, Repeat: waxwingseam.RepeatIdempotent, Share: 70, Deadline: 6 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: 8 * time.Millisecond,
		MaxWaiting:  80,
		Redirects:   3,
	}
	board := &Visit{Service: "board", Work: boardWork}
	confirm := &Visit{Service: "bookings", Work: 20 * time.Millisecond, Stages: [][]*Visit{{board}}}
	return Config{
		Deployment:   d,
		Plan:         board,
		Plans:        []*Visit{confirm, board},
		Capacity:     float64(servers*slots) / boardWork.Seconds(),
		Demand:       Demand{Base: demand},
		TriggerStart: quietTime,
		TriggerEnd:   quietTime + duration,
		Duration:     quietTime + duration + postTriggerTime,
		Seed:         1,
	}
}
