package admitter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// queuedTicket is a ticket in the queue.
type queuedTicket struct {
	ticket waxwingseam.Ticket
	// expiresAt is when the ticket is refused if it has not started.
	expiresAt time.Time
	// share is the use of the ticket's account.
	share *accountShare
	// expiryIndex is the index of the ticket in the expiry heap.
	expiryIndex int
}

// lane holds the waiting tickets of one importance and one depth, in order of
// service.
type lane struct {
	tickets []*queuedTicket
}

func compareOrder(w *queuedTicket, t waxwingseam.Rank) int {
	switch {
	case w.ticket.Rank.Order < t.Order:
		return -1
	case w.ticket.Rank.Order > t.Order:
		return 1
	}
	return 0
}

func (l *lane) empty() bool {
	return len(l.tickets) == 0
}

// add inserts a ticket by its order of service.
func (l *lane) add(w *queuedTicket) {
	at := len(l.tickets)
	for at > 0 && w.ticket.Rank.Order < l.tickets[at-1].ticket.Rank.Order {
		if at > 16 {
			at, _ = slices.BinarySearchFunc(l.tickets, w.ticket.Rank, compareOrder)
			break
		}
		at--
	}
	l.tickets = slices.Insert(l.tickets, at, w)
}

func (l *lane) remove(w *queuedTicket) {
	at, _ := slices.BinarySearchFunc(l.tickets, w.ticket.Rank, compareOrder)
	for at < len(l.tickets) && l.tickets[at] != w {
		at++
	}
	if at < len(l.tickets) {
		l.tickets = slices.Delete(l.tickets, at, at+1)
	}
}

func (l *lane) first() *queuedTicket {
	return l.tickets[0]
}

func (l *lane) last() *queuedTicket {
	return l.tickets[len(l.tickets)-1]
}
