package messenger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

// TestStartIsCutToSeconds guards against starts of backend servers that lose their
// milliseconds between processes: two incarnations within a second would be taken for one.
func TestStartIsCutToSeconds(t *testing.T) {
	sent := waxwingseam.Ending{Instance: "i-1", Started: time.UnixMilli(1_700_000_000_123), At: time.Unix(1_700_000_001, 456_789)}
	data, err := messenger.Encoding.Marshal(&sent)
	qt.Assert(t, err, qt.IsNil)
	var got waxwingseam.Ending
	qt.Assert(t, messenger.Encoding.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got.Started.Equal(sent.Started), qt.IsTrue)
	qt.Assert(t, got.At.Equal(sent.At), qt.IsTrue)
}
