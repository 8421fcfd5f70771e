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

// harness drives a registrar in virtual time and maintains the table that the
// registrar's effects describe.
type harness struct {
	reducer waxwingseam.Reducer
	now     time.Time
	timer   time.Time
	table   map[waxwingseam.ServerName]waxwingseam.Registration
	gone    []waxwingseam.ServerName
	// superseded maps each refused server to the later incarnation that is known.
	superseded map[waxwingseam.ServerName]waxwingseam.Incarnation
}

func newHarness() *harness {
	return &harness{
		reducer: reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: New()}}}),
		now:     time.Unix(1_000, 0),
		table:   map[waxwingseam.ServerName]waxwingseam.Registration{},

		superseded: map[waxwingseam.ServerName]waxwingseam.Incarnation{},
	}
}

func (h *harness) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: h.now}
}

func (h *harness) step(e waxwingseam.Event) {
	for _, v := range h.reducer.Reduce(e) {
		switch v := v.(type) {
		case waxwingseam.ArmTimer:
			h.timer = v.At
		case waxwingseam.ServerSuperseded:
			h.superseded[v.Server] = v.Incarnation
		case waxwingseam.ServersChanged:
			for _, r := range v.Present {
				h.table[r.Announcement.Server.Name] = r
			}
			for _, r := range v.Gone {
				delete(h.table, r.Announcement.Server.Name)
				h.gone = append(h.gone, r.Announcement.Server.Name)
			}
		}
	}
}

// advance advances the time and fires the timer whenever it is due.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for !h.timer.IsZero() && !h.timer.After(end) {
		h.now, h.timer = h.timer, time.Time{}
		h.step(waxwingseam.TimerFired{Stamp: h.stamp(), Timer: waxwingseam.TimerID{Purpose: PurposeLeases}})
	}
	h.now = end
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

func (h *harness) announce(name string, incarnation, sequence int) {
	h.step(waxwingseam.ServerAnnounced{Stamp: h.stamp(), Announcement: announcement(name, incarnation, sequence)})
}

func (h *harness) renew(name string) {
	h.step(waxwingseam.LeaseRenewed{Stamp: h.stamp(), Server: waxwingseam.ServerName(name), Incarnation: 1})
}

func (h *harness) updatePeer(peer string, complete bool, present ...waxwingseam.Announcement) {
	h.step(waxwingseam.PeerServersUpdated{Stamp: h.stamp(), Peer: peer, Present: present, Complete: complete})
}

func TestServerWithEndedLeaseIsDropped(t *testing.T) {
	h := newHarness()
	h.announce("a", 1, 1)
	h.announce("b", 1, 1)
	for range 20 {
		h.advance(LeaseTime / 4)
		h.renew("a")
	}
	qt.Assert(t, h.gone, qt.DeepEquals, []waxwingseam.ServerName{"b"})
	qt.Assert(t, h.table, qt.HasLen, 1)
}

// TestServersAreKeptWhenMostLeasesEnd checks that servers whose leases all end at
// once are kept as lapsed for OrphanTime, and that a renewal ends the lapse.
func TestServersAreKeptWhenMostLeasesEnd(t *testing.T) {
	h := newHarness()
	for i := range 4 {
		h.announce(fmt.Sprintf("s%d", i), 1, 1)
	}
	h.advance(LeaseTime + time.Second)
	qt.Assert(t, h.gone, qt.HasLen, 0)
	qt.Assert(t, h.table["s0"].Lapsed, qt.IsTrue)
	h.renew("s0")
	qt.Assert(t, h.table["s0"].Lapsed, qt.IsFalse)
	for range int(OrphanTime/time.Second) + 10 {
		h.advance(time.Second)
		h.renew("s0")
	}
	qt.Assert(t, h.table, qt.HasLen, 1)
}

func TestNewerAnnouncementWins(t *testing.T) {
	for _, v := range []struct {
		name                  string
		incarnation, sequence int
		wins                  bool
	}{
		{"later sequence", 2, 6, true},
		{"earlier sequence", 2, 4, false},
		{"later incarnation", 3, 1, true},
		{"earlier incarnation", 1, 9, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			h := newHarness()
			h.announce("a", 2, 5)
			h.updatePeer("r2", false, announcement("a", v.incarnation, v.sequence))
			qt.Assert(t, h.table["a"].Peer == "r2", qt.Equals, v.wins)
		})
	}
}

// TestEarlierIncarnationIsRefused checks that a node whose clock was set back,
// and which therefore restarts with an earlier incarnation, receives the later
// one, both while the later one is registered and after it was dropped. The node
// is registered once it announces a still later incarnation.
func TestEarlierIncarnationIsRefused(t *testing.T) {
	for _, gone := range []bool{false, true} {
		h := newHarness()
		h.announce("b", 1, 1)
		h.announce("c", 1, 1)
		h.announce("a", 9, 3)
		if gone {
			for range 20 {
				h.advance(LeaseTime / 4)
				h.renew("b")
				h.renew("c")
			}
			qt.Assert(t, h.gone, qt.DeepEquals, []waxwingseam.ServerName{"a"})
		}
		h.announce("a", 7, 1)
		qt.Assert(t, h.superseded["a"], qt.Equals, waxwingseam.Incarnation(9))
		h.announce("a", 10, 2)
		qt.Assert(t, h.table["a"].Announcement.Server.Incarnation, qt.Equals, waxwingseam.Incarnation(10))
	}
}

// TestMovedServerIsKept checks that a server which moved to another registrar is
// not dropped when its lease at the first one ends, and that only a newer
// announcement restores the server after it was dropped.
func TestMovedServerIsKept(t *testing.T) {
	h := newHarness()
	h.announce("a", 1, 1)
	h.announce("b", 1, 1)
	h.updatePeer("r2", false, announcement("a", 1, 2))
	for range 20 {
		h.advance(LeaseTime / 4)
		h.renew("b")
	}
	qt.Assert(t, h.gone, qt.HasLen, 0)
	h.updatePeer("r2", true)
	qt.Assert(t, h.gone, qt.DeepEquals, []waxwingseam.ServerName{"a"})
	h.updatePeer("r3", false, announcement("a", 1, 2))
	qt.Assert(t, h.table, qt.HasLen, 1)
	h.updatePeer("r3", false, announcement("a", 1, 3))
	qt.Assert(t, h.table, qt.HasLen, 2)
}

// TestServersOfLostPeerAreKept checks that the servers of an unreachable
// registrar are kept for OrphanTime.
func TestServersOfLostPeerAreKept(t *testing.T) {
	h := newHarness()
	h.updatePeer("r2", true, announcement("a", 1, 1))
	h.step(waxwingseam.PeerLost{Stamp: h.stamp(), Peer: "r2"})
	h.advance(OrphanTime - time.Second)
	qt.Assert(t, h.table, qt.HasLen, 1)
	h.advance(2 * time.Second)
	qt.Assert(t, h.table, qt.HasLen, 0)
}

// TestAnnouncementsNeverRevert checks with random announcements, moves, lost
// peers and pauses that an older announcement never replaces a newer one, and
// that a server whose lease is renewed in time is never dropped.
func TestAnnouncementsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		latest := map[waxwingseam.ServerName]waxwingseam.Announcement{}
		sequence := 1
		h.announce("steady", 1, 1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.renew("steady")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			a := announcement(name, rapid.IntRange(1, 3).Draw(t, "incarnation"), sequence)
			sequence++
			peer := rapid.SampledFrom([]string{"r2", "r3"}).Draw(t, "peer")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				h.step(waxwingseam.ServerAnnounced{Stamp: h.stamp(), Announcement: a})
			case 1:
				h.updatePeer(peer, rapid.Bool().Draw(t, "whole"), a)
			case 2:
				h.step(waxwingseam.PeerLost{Stamp: h.stamp(), Peer: peer})
			case 3:
				h.step(waxwingseam.PeerServersUpdated{Stamp: h.stamp(), Peer: peer, Gone: []waxwingseam.Announcement{a}})
			}
			h.advance(time.Duration(rapid.IntRange(0, int(LeaseTime-time.Millisecond)).Draw(t, "pause")))
			for name, r := range h.table {
				if latest[name].Newer(r.Announcement) {
					t.Fatalf("%s reverted to the older announcement %v", name, r.Announcement)
				}
				latest[name] = r.Announcement
			}
			if _, ok := h.table["steady"]; !ok {
				t.Fatal("a renewed server was dropped")
			}
		}
	})
}
