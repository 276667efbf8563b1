package store_test

import (
	"net/netip"
	"testing"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/standin"
)

// objectBytes exceeds what the buffers of a connection hold.
const objectBytes = 8 << 20

// storeAt returns a client of a store that is a stand-in.
func storeAt(t *testing.T, s *standin.RawServer) *store.Client {
	t.Helper()
	at := standin.StartRawServer(t, s)
	return store.NewClient(at, at, netip.AddrPort{})
}

// TestResetWhileAnObjectIsWritten checks that an object does not count as stored if the
// connection is reset before all of it was read.
func TestResetWhileAnObjectIsWritten(t *testing.T) {
	const writes = 50
	c := storeAt(t, &standin.RawServer{Response: "HTTP/1.1 200 OK\r\n\r\n{", Ending: standin.Reset{}})
	stored := 0
	for range writes {
		if c.Put(t.Context(), "o", make([]byte, objectBytes)) == nil {
			stored++
		}
	}
	if stored > 0 {
		t.Errorf("%d of %d objects count as stored", stored, writes)
	}
}

func TestResponseToAWriteEndedByConnection(t *testing.T) {
	c := storeAt(t, &standin.RawServer{Response: "HTTP/1.1 200 OK\r\n\r\n{}", Ending: standin.Close{}})
	if err := c.Put(t.Context(), "o", make([]byte, objectBytes)); err != nil {
		t.Errorf("Put() = %v", err)
	}
}
