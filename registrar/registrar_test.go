package registrar

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/reducer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// world drives a registrar in virtual time and keeps the table that its
// effects describe.
type world struct {
	reducer waxwingseam.Reducer
	now     time.Time
	timer   time.Time
	table   map[waxwingseam.ServerName]waxwingseam.Registration
	gone    []waxwingseam.ServerName
	// outlived holds the incarnation that a refused server was told of.
	outlived map[waxwingseam.ServerName]waxwingseam.Incarnation
}

func newWorld() *world {
	return &world{
		reducer: reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: New()}}}),
		now:     time.Unix(1_000, 0),
		table:   map[waxwingseam.ServerName]waxwingseam.Registration{},

		outlived: map[waxwingseam.ServerName]waxwingseam.Incarnation{},
	}
}

func (w *world) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: w.now}
}

func (w *world) step(e waxwingseam.Event) {
	for _, v := range w.reducer.Reduce(e) {
		switch v := v.(type) {
		case waxwingseam.ArmTimer:
			w.timer = v.At
		case waxwingseam.ServerSuperseded:
			w.outlived[v.Server] = v.Incarnation
		case waxwingseam.ServersChanged:
			for _, r := range v.Present {
				w.table[r.Announcement.Server.Name] = r
			}
			for _, r := range v.Gone {
				delete(w.table, r.Announcement.Server.Name)
				w.gone = append(w.gone, r.Announcement.Server.Name)
			}
		}
	}
}

// pass lets time pass, firing the timer when it is due.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for !w.timer.IsZero() && !w.timer.After(end) {
		w.now, w.timer = w.timer, time.Time{}
		w.step(waxwingseam.TimerFired{Stamp: w.stamp(), Timer: waxwingseam.TimerID{Purpose: PurposeLeases}})
	}
	w.now = end
}

func announcement(name string, incarnation, sequence int) waxwingseam.Announcement {
	return waxwingseam.Announcement{
		Server: waxwingseam.Server{
			Name:        waxwingseam.ServerName(name),
			Service:     "fees",
			Incarnation: waxwingseam.Incarnation(incarnation),
		},
		Sequence: uint64(sequence),
	}
}

func (w *world) announce(name string, incarnation, sequence int) {
	w.step(waxwingseam.ServerAnnounced{Stamp: w.stamp(), Announcement: announcement(name, incarnation, sequence)})
}

func (w *world) renew(name string) {
	w.step(waxwingseam.LeaseRenewed{Stamp: w.stamp(), Server: waxwingseam.ServerName(name), Incarnation: 1})
}

func (w *world) learn(peer string, whole bool, present ...waxwingseam.Announcement) {
	w.step(waxwingseam.PeerServersUpdated{Stamp: w.stamp(), Peer: peer, Present: present, Complete: whole})
}

func TestOneLeaseEnds(t *testing.T) {
	w := newWorld()
	w.announce("a", 1, 1)
	w.announce("b", 1, 1)
	for range 20 {
		w.pass(LeaseTime / 4)
		w.renew("a")
	}
	qt.Assert(t, w.gone, qt.DeepEquals, []waxwingseam.ServerName{"b"})
	qt.Assert(t, w.table, qt.HasLen, 1)
}

// TestManyLeasesEnd checks that a registrar which hears of nobody any more
// keeps the servers, marked, for OrphanTime.
func TestManyLeasesEnd(t *testing.T) {
	w := newWorld()
	for i := range 4 {
		w.announce(fmt.Sprintf("s%d", i), 1, 1)
	}
	w.pass(LeaseTime + time.Second)
	qt.Assert(t, w.gone, qt.HasLen, 0)
	qt.Assert(t, w.table["s0"].Lapsed, qt.IsTrue)
	w.renew("s0")
	qt.Assert(t, w.table["s0"].Lapsed, qt.IsFalse)
	for range int(OrphanTime/time.Second) + 10 {
		w.pass(time.Second)
		w.renew("s0")
	}
	qt.Assert(t, w.table, qt.HasLen, 1)
}

func TestNewerAnnouncementWins(t *testing.T) {
	for _, v := range []struct {
		name                  string
		incarnation, sequence int
		wins                  bool
	}{
		{"later sequence", 2, 6, true},
		{"earlier sequence", 2, 4, false},
		{"later life", 3, 1, true},
		{"earlier life", 1, 9, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld()
			w.announce("a", 2, 5)
			w.learn("r2", false, announcement("a", v.incarnation, v.sequence))
			qt.Assert(t, w.table["a"].Peer == "r2", qt.Equals, v.wins)
		})
	}
}

// TestClockSetBack checks that a node which starts again with an earlier
// incarnation is told of the later one, while that is listed and after it is
// gone, and is listed once it announces one beyond it.
func TestClockSetBack(t *testing.T) {
	for _, gone := range []bool{false, true} {
		w := newWorld()
		w.announce("b", 1, 1)
		w.announce("c", 1, 1)
		w.announce("a", 9, 3)
		if gone {
			for range 20 {
				w.pass(LeaseTime / 4)
				w.renew("b")
				w.renew("c")
			}
			qt.Assert(t, w.gone, qt.DeepEquals, []waxwingseam.ServerName{"a"})
		}
		w.announce("a", 7, 1)
		qt.Assert(t, w.outlived["a"], qt.Equals, waxwingseam.Incarnation(9))
		w.announce("a", 10, 2)
		qt.Assert(t, w.table["a"].Announcement.Server.Incarnation, qt.Equals, waxwingseam.Incarnation(10))
	}
}

// TestMovedServerStays checks that a server which moved to another registrar
// is not dropped when the first one misses it.
func TestMovedServerStays(t *testing.T) {
	w := newWorld()
	w.announce("a", 1, 1)
	w.announce("b", 1, 1)
	w.learn("r2", false, announcement("a", 1, 2))
	for range 20 {
		w.pass(LeaseTime / 4)
		w.renew("b")
	}
	qt.Assert(t, w.gone, qt.HasLen, 0)
	w.learn("r2", true)
	qt.Assert(t, w.gone, qt.DeepEquals, []waxwingseam.ServerName{"a"})
	w.learn("r3", false, announcement("a", 1, 2))
	qt.Assert(t, w.table, qt.HasLen, 1)
	w.learn("r3", false, announcement("a", 1, 3))
	qt.Assert(t, w.table, qt.HasLen, 2)
}

// TestPeerLost checks that the servers of a registrar out of reach stay known
// for OrphanTime.
func TestPeerLost(t *testing.T) {
	w := newWorld()
	w.learn("r2", true, announcement("a", 1, 1))
	w.step(waxwingseam.PeerLost{Stamp: w.stamp(), Peer: "r2"})
	w.pass(OrphanTime - time.Second)
	qt.Assert(t, w.table, qt.HasLen, 1)
	w.pass(2 * time.Second)
	qt.Assert(t, w.table, qt.HasLen, 0)
}

// TestTableProperty checks over random announcements, moves, losses and
// pauses that a server's announcements never go back, and that one which is
// renewed in time is never dropped.
func TestTableProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		latest := map[waxwingseam.ServerName]waxwingseam.Announcement{}
		sequence := 1
		w.announce("steady", 1, 1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.renew("steady")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			a := announcement(name, rapid.IntRange(1, 3).Draw(t, "incarnation"), sequence)
			sequence++
			peer := rapid.SampledFrom([]string{"r2", "r3"}).Draw(t, "peer")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.step(waxwingseam.ServerAnnounced{Stamp: w.stamp(), Announcement: a})
			case 1:
				w.learn(peer, rapid.Bool().Draw(t, "whole"), a)
			case 2:
				w.step(waxwingseam.PeerLost{Stamp: w.stamp(), Peer: peer})
			case 3:
				w.step(waxwingseam.PeerServersUpdated{Stamp: w.stamp(), Peer: peer, Gone: []waxwingseam.Announcement{a}})
			}
			w.pass(time.Duration(rapid.IntRange(0, int(LeaseTime-time.Millisecond)).Draw(t, "pause")))
			for name, r := range w.table {
				if latest[name].Newer(r.Announcement) {
					t.Fatalf("%s went back to %v", name, r.Announcement)
				}
				latest[name] = r.Announcement
			}
			if _, ok := w.table["steady"]; !ok {
				t.Fatal("a renewed server was dropped")
			}
		}
	})
}
