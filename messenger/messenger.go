// Package messenger exchanges typed messages between the system's own processes,
// as drpc calls that are encoded in CBOR.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"
)

// Encoding encodes the messages of all services in CBOR.
var Encoding drpc.Encoding = encoding{}

type encoding struct{}

// encMode keeps the fractions of times, which tell the starts of backend servers apart. The
// default of the library cuts them off.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := encMode.Marshal(msg)
	return data, trace.Wrap(err)
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return trace.Wrap(cbor.Unmarshal(buf, msg))
}

// Method describes one remote method for drpc.
type Method struct {
	// Name is the path of the method, such as "/waxwingseam.Node/Fence".
	Name string
	// Receiver calls the method.
	Receiver drpc.Receiver
	// Expression is the method expression of the service's interface.
	Expression any
}

// Description lists the methods of one service.
type Description []Method

// NumMethods implements drpc.Description.
func (d Description) NumMethods() int {
	return len(d)
}

// Method implements drpc.Description.
func (d Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d) {
		return "", nil, nil, nil, false
	}
	m := d[n]
	return m.Name, Encoding, m.Receiver, m.Expression, true
}
