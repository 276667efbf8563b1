package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

// TestPeersStayKnownWhileAsManyAreRememberedAsMayBe fills the table of peers. Those in it
// are heard from on and on, and one more is not taken in.
func TestPeersStayKnownWhileAsManyAreRememberedAsMayBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &TableGossip{peers: map[netip.AddrPort]peerState{}}
		var all []*wire.PeerInfo
		for i := range maxPeers + 1 {
			all = append(all, &wire.PeerInfo{Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250)})
		}
		for range 4 {
			g.recordPeers(all[0], all[1:])
			if live := len(g.livePeers()); live != maxPeers {
				t.Errorf("%d peers are live, want %d", live, maxPeers)
			}
			time.Sleep(peerTTL / 2)
		}
	})
}
