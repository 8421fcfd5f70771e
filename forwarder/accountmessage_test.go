package forwarder_test

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/runner"
)

// accountEvents observes the events of a node about client accounts.
type accountEvents struct {
	mu       sync.Mutex
	received []string
	refused  []netip.AddrPort
}

// Observe implements runner.Observer.
func (o *accountEvents) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch v := e.(type) {
	case waxwingseam.AccountMessageReceived:
		o.received = append(o.received, string(v.Message))
	case waxwingseam.AccountMessageRefused:
		o.refused = append(o.refused, v.To)
	}
}

// seen returns the messages that were received and the nodes that were found to have ended.
func (o *accountEvents) seen() ([]string, []netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.received), slices.Clone(o.refused)
}

func observers(o runner.Observer) []runner.Observer { return []runner.Observer{o} }

// TestAccountMessages guards against messages about client accounts that are lost, and
// against a node that is told to have ended while it only stands still: its limits would be
// granted twice.
func TestAccountMessages(t *testing.T) {
	for _, v := range []struct {
		name     string
		before   func(to *node)
		received int
		refused  int
	}{
		{"delivered", func(*node) {}, 2, 0},
		{"delivered after the connection was closed", func(to *node) { to.testbed.net.reset(to.self.Node) }, 2, 0},
		{"the node has ended", func(to *node) { to.kill() }, 1, 1},
		{"the node stands still", func(to *node) { to.testbed.net.stop(to.self.Node) }, 1, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				sender, receiver := &accountEvents{}, &accountEvents{}
				from := tb.newNode(nodeConfig{name: "desk-1", observers: observers(sender)})
				to := tb.newNode(nodeConfig{name: "desk-2", observers: observers(receiver)})
				message := waxwingseam.SendAccountMessage{To: []netip.AddrPort{to.self.Node}, Message: []byte("used 3")}
				from.Execute(message)
				time.Sleep(time.Second)
				v.before(to)
				from.Execute(message)
				time.Sleep(time.Second)
				received, _ := receiver.seen()
				qt.Check(t, received, qt.HasLen, v.received)
				for _, m := range received {
					qt.Check(t, m, qt.Equals, "used 3")
				}
				_, refused := sender.seen()
				qt.Check(t, refused, qt.HasLen, v.refused)
			})
		})
	}
}

// TestAccountMessageToManyNodes guards against one idle connection to each node of a large
// deployment, which would use up the descriptors of a node.
func TestAccountMessageToManyNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		from := tb.newNode(nodeConfig{name: "desk"})
		message := waxwingseam.SendAccountMessage{Message: []byte("scarce")}
		all := make([]*accountEvents, 0, 40)
		for range 40 {
			o := &accountEvents{}
			all = append(all, o)
			message.To = append(message.To, tb.newNode(nodeConfig{observers: observers(o)}).self.Node)
		}
		from.Execute(message)
		time.Sleep(time.Second)
		for _, o := range all {
			received, _ := o.seen()
			qt.Check(t, received, qt.DeepEquals, []string{"scarce"})
		}
		from.Execute(waxwingseam.SendAccountMessage{To: message.To[:1], Message: message.Message})
		time.Sleep(time.Second)
		qt.Check(t, tb.net.dialed(message.To[0]), qt.Equals, 2, qt.Commentf("the first connection was kept"))
	})
}
