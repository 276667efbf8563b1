package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/quarantine"
)

// maxPromptParts bounds the prompt parts in one message.
const maxPromptParts = 256

// promptPartsToWire converts records to their messages. If they do not fit into one message,
// it has the first ones and, at random, as many of the others, so that a peer gets all of
// them in time.
func promptPartsToWire(records []quarantine.Record) []*wire.PromptPart {
	if len(records) > maxPromptParts {
		const half = maxPromptParts / 2
		first, rest := records[:half], records[half:]
		begin := rand.IntN(len(rest))
		rotated := slices.Concat(rest[begin:], rest[:begin])
		records = slices.Concat(first, rotated[:half])
	}
	messages := make([]*wire.PromptPart, len(records))
	for i, r := range records {
		messages[i] = &wire.PromptPart{
			Part:             r.Part,
			LastCrashAge:     ageToWire(r.LastCrash),
			PreviousCrashAge: ageToWire(r.PreviousCrash),
			LastAnswerAge:    ageToWire(r.LastAnswer),
			LastTrialAge:     ageToWire(r.LastTrial),
			Block:            DurationToWire(r.Block),
			Endpoint:         r.Endpoint,
			OtherEndpoint:    r.OtherEndpoint,
			Likelihood:       r.Likelihood,
		}
	}
	return messages
}

// promptPartsFromWire converts messages to records.
func promptPartsFromWire(messages []*wire.PromptPart) []quarantine.Record {
	records := make([]quarantine.Record, len(messages))
	for i, m := range messages {
		records[i] = quarantine.Record{
			Part:          m.GetPart(),
			LastCrash:     ageFromWire(m.GetLastCrashAge()),
			PreviousCrash: ageFromWire(m.GetPreviousCrashAge()),
			LastAnswer:    ageFromWire(m.GetLastAnswerAge()),
			LastTrial:     ageFromWire(m.GetLastTrialAge()),
			Block:         m.GetBlock().AsDuration(),
			Endpoint:      m.GetEndpoint(),
			OtherEndpoint: m.GetOtherEndpoint(),
			Likelihood:    m.GetLikelihood(),
		}
	}
	return records
}

// ageToWire converts a time to its age; nil if it is zero.
func ageToWire(at time.Time) *durationpb.Duration {
	if at.IsZero() {
		return nil
	}
	return DurationToWire(time.Since(at))
}

// ageFromWire converts an age to a time; zero if it is nil.
func ageFromWire(age *durationpb.Duration) time.Time {
	if age == nil {
		return time.Time{}
	}
	return time.Now().Add(-age.AsDuration())
}
