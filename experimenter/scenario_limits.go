package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// limitedBoard returns boardDeployment with ten slots a server and 90 ms of work.
func limitedBoard(demand float64, duration time.Duration) Config {
	return boardDeployment(10, 90*time.Millisecond, demand, duration)
}

// boardDeployment returns a configuration without a surge in which two kinds of requests
// meet at the four servers of the service board: browses go there themselves, and the
// more important confirmations through the service bookings. Its capacity is the rate
// of requests that occupies all slots of board. The demand is a multiple of it.
func boardDeployment(slots int, boardWork time.Duration, demand float64, duration time.Duration) Config {
	const servers = 4
	d := Deployment{
		Name: "limited-board",
		Tiers: []Tier{
			{"board", servers, slots, 10 * slots, boardWork},
			{"bookings", 3, 6 * slots, 30 * slots, 20 * time.Millisecond},
		},
		RequestKinds: []RequestKind{
			{Class: "confirm", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 30, Deadline: 6 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
			{Class: "browse", Importance: 4, Repeat: waxwingseam.RepeatIdempotent, Share: 70, Deadline: 6 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: 8 * time.Millisecond,
		MaxWaiting:  8 * slots,
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
