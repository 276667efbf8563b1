package peer

import (
	"reflect"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/quarantine"
)

// TestPromptMessages checks that every field of a record survives the conversion to a
// message and back.
func TestPromptMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
		records := []quarantine.Record{{
			Part: "p", LastCrash: ago(time.Second), PreviousCrash: ago(time.Minute), LastAnswer: ago(2 * time.Second),
			LastTrial: ago(3 * time.Second), Block: 4 * time.Second, Endpoint: "e", OtherEndpoint: "o", Likelihood: 0.5,
		}}
		expectNoZeroField(t, reflect.ValueOf(records[0]))
		expectEqual(t, promptPartsFromWire(promptPartsToWire(records)), records)
		unknown := []quarantine.Record{{Part: "p", LastCrash: ago(time.Second)}}
		expectEqual(t, promptPartsFromWire(promptPartsToWire(unknown)), unknown)
	})
}

// TestManyPromptMessages checks that a peer gets all of many records in time, and the most
// important ones with each message.
func TestManyPromptMessages(t *testing.T) {
	records := make([]quarantine.Record, 10*maxPromptParts)
	for i := range records {
		records[i] = quarantine.Record{Part: strconv.Itoa(i), LastCrash: time.Now()}
	}
	received := map[string]bool{}
	for range 1000 {
		messages := promptPartsToWire(records)
		expectEqual(t, len(messages), maxPromptParts)
		expectEqual(t, messages[0].GetPart(), "0")
		for _, m := range messages {
			received[m.GetPart()] = true
		}
	}
	expectEqual(t, len(received), len(records))
}
