#!/usr/bin/env bash
# Shows that the proofs can fail: removes one mechanism at a time in a scratch
# copy and expects the named test to turn red. Prints a table; a line in capitals
# is a mechanism that can be removed without a test noticing.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
parallel=4

# without NAME FILE SED-EXPRESSION PACKAGE FOCUS; for the soak, a seed is the focus
without() {
  while [ "$(jobs -rp | wc -l)" -ge $parallel ]; do wait -n; done
  remove "$@" &
}
remove() {
  local tree out status
  tree=$(mktemp -d -p "$copy")
  git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$tree"
  sed -i -E "$3" "$tree/$2"
  if cmp -s "$2" "$tree/$2"; then echo "NOT APPLIED  $1"; return; fi
  local focus=(-ginkgo.focus "$5")
  [ "$4" != ./internal/soak ] || focus=(-soak.seed="$5")
  out=$(cd "$tree" && timeout 100 go test -count=1 "$4" "${focus[@]}" 2>&1)
  status=$?
  if [ $status -eq 0 ]; then echo "NOT NOTICED  $1"
  elif grep -q 'build failed' <<<"$out"; then echo "NOT BUILT    $1"
  elif [ $status -eq 124 ]; then echo "red (hangs)  $1"
  else echo "red          $1"; fi
}

gate=internal/request/gate
map=internal/version/expertmap
without "records outlive attempts" $gate/ledger.go 's/maxRecordAge = 3/maxRecordAge = 1/' ./$gate "any schedule"
without "epoch of attempts is checked" $gate/ledger.go 's/return attemptEpoch <= .*/return true/' ./$gate "any schedule|paused"
without "sealed attempts are refused" $gate/ledger.go 's/return outcome.Sealed/return ""/' ./$gate "any schedule"
without "admitted requests are refused" $gate/ledger.go 's/case r.admitted \&\& !a.Idempotent/case false/' ./$gate "any schedule"
without "cold limit until warm" $gate/limiter.go 's/if l.warmupLeft > 0/if false/' ./$gate "cold gate"
without "a first load report is needed" $gate/gate.go 's/case !g.reporting:/case false:/' ./$gate "cold gate"
without "gates close at refused connections" $gate/gate.go 's/g.reporting = g.reporting \&\& !c.NeverSent//' ./internal/proof "endpoint killed"
without "silent links are found" internal/connection/sidecar/link.go 's/silent := .*/silent := false/' ./internal/proof "link blackholed"
without "attempts are sealed before a retry" internal/connection/caller/dispatch.go 's/return d.sealAttempt\(ctx, a, w.Link\)$/_ = w; return tryAgain{reason: outcome.ConnectionLost}/' ./internal/proof "booking: link"
without "a claim decides who runs a key" internal/connection/caller/claim.go 's/if held.Claim == mine \{/if true {/' ./internal/proof "repeated idempotency key"
without "what may have run is not called not run" internal/connection/caller/retry.go 's/d.mayHaveRun = true/d.mayHaveRun = false/' ./internal/proof "reported as unknown"
without "the end of an answer is explicit" internal/connection/sidecar/exchange.go 's/whole := .*/whole := true/' ./internal/connection/sidecar "end"
without "older versions are ignored" internal/version/view/view.go 's/s.Version <= v.Version\(\)/false/; s/v.signed != nil \&\& s.Version <= v.signed.Version/false/' ./internal/proof "late copies"
without "bundles are verified" pkg/bundle/signed.go 's/!ed25519.Verify\(/false \&\& !ed25519.Verify(/' ./internal/proof "wrong signatures"
without "orders are verified" pkg/order/order.go 's/!ed25519.Verify\(/false \&\& !ed25519.Verify(/' ./internal/proof "forged"
without "stale views take no work" internal/version/view/view.go 's/FreshFor = 3/FreshFor = 30/' ./internal/proof "cut off"
without "late answers do not look fresh" internal/connection/peer/viewgossip.go 's/g.view.Confirm\(asked.Add.*/g.view.Confirm(time.Now())/' ./internal/proof "pass on old"
without "a return releases only what it names" internal/version/view/view.go 's/!released\[id\]/!(released[id] || len(released) > 0)/' ./internal/proof "does not list it"
without "orders are recorded when the table is back" internal/connection/store/poller.go 's/return p.intent.RecordOrders\(ctx, missing\)/return nil/' ./internal/proof "recorded later"
without "the pointer moves by compare-and-swap" internal/connection/store/intent.go 's/if err == nil \&\& results\[0\].Applied/if err == nil \&\& len(results) == 1/' ./internal/proof "apply at once"
without "lost answers are read back" internal/connection/store/intent.go 's/return i.confirmApplied\(ctx, s\)/return err/' ./internal/proof "response to the write was lost"
without "commands name the incarnation" $map/participant.go 's/e.Incarnation == p.incarnation \&\& //' ./$map "switch"
without "ranks obey the highest ballot" $map/participant.go 's/if e.Ballot.Less\(p.promised\) \{/if false {/; s/ \&\& e.Ballot == p.promised//' ./$map "switch"
without "a hold must be in effect" $map/participant.go 's/return s.HoldStep == c.Step \&\& s.Step <= c.Step/return true/' ./$map "switch"
without "orders on their way are waited out" $map/participant.go 's/wait := time.Until\(p.quietAt\)/wait := time.Duration(0)/' ./$map "switch"
without "begun switches are finished first" $map/coordinator.go 's/if reply.State.Active != latest.Active \{/if reply.State.Active != latest.Active \&\& false {/' ./$map "switch"
entry=internal/process/entry
switch=internal/version/expertswitch
without "a shed request is not run, all else unknown" internal/connection/endpoint/direct.go 's/x.end\(BrokenOff\{\}, transport.Broken\{\}\)/x.end(BrokenOff{}, transport.Refused{Reason: outcome.Shed})/' ./$entry "may run only once"
without "answers need their proof" platform/endpointdialect.go 's/h.Get\(headerSignature\) == ""/false/' ./$entry "may run only once"
without "answers need the request's id" platform/endpointdialect.go 's/echo != a.Header.Get\(headerAttemptID\)/false/' ./$entry "may run only once"
without "a busy endpoint must say that it did not run" platform/endpointdialect.go 's/case impliesNotExecuted\(status\)/case false/' ./$entry "may run only once"
without "attempts name their endpoint" platform/endpointdialect.go 's/a.Header.Set\(headerEndpoint, name\)//' ./$entry "took over"
without "events are checked by id" internal/request/eventstream/splicer.go 's/if id != s.lastID\+1 \{/if false {/' ./$entry "repeated event"
without "torn events are dropped" internal/request/eventstream/splicer.go 's/\{ s.partial, s.searched = nil, 0 \}/{}/' ./$entry "within one response"
without "replaced endpoints stay out" $entry/directendpoint.go 's/e.member.ApplyAnnouncement\(.*/e.member.ApplyGateState(info.Slots, 0, !info.Leaving)/' ./$entry "taken over"
without "an arrival elsewhere costs a retry" internal/request/retry/retry.go 's/return CostBudget$/return CostNone/' ./$entry "turned away"
without "runs go on after the last event" internal/connection/caller/dispatch.go 's/c.ResumeAfter = d.delivery.splicer.LastID\(\)//' ./$entry "that break off resume"
without "older configurations are ignored" $entry/directfleet.go 's/b.Version < now.Version/false/' ./$entry "never goes back"
without "held domains get no work" $entry/directfleet.go 's/e.member.SetHeld\(held\[.*/e.member.SetHeld(false)/' ./$entry "held failure domain"
without "lapsed rows count for a while" internal/version/mirror/mirror.go 's/lapseGrace = 2200/lapseGrace = 1/' ./$entry "rows lapsed"
without "lapsed rows end" internal/version/mirror/mirror.go 's/lapseGrace = 2200/lapseGrace = 220000/' ./$entry "rows lapsed"
without "lapsed rows count no longer at peers" internal/version/mirror/mirror.go 's/Add\(l.Remaining\)/Add(lapseGrace)/' ./internal/version/mirror "lengthen"
without "those that reached the store all the while know best" internal/version/mirror/mirror.go 's/case s.Authoritative:/case false:/' ./internal/version/mirror "never lost the store"
without "lost history is read anew" platform/store.go 's/status == http.StatusGone/status == 999/' ./$entry "loses its history"
without "copies come from peers" internal/connection/peer/tablegossip.go 's/g.mirror.Replace\(.*//' ./$entry "comes from peers"
without "swallowed calls are given up" internal/connection/store/follower.go 's/longPollWait = 1500/longPollWait = 15000/' ./$entry "calls unanswered"
without "cold endpoints are spared" internal/request/balancer/warmup.go 's/if w.tokens < 1 \{/if false {/; s/ \|\| w.tokens >= 1/ || true/' ./$entry "cold"
without "cold limits are shared" internal/request/balancer/warmup.go 's/share := perSecond .*/share := perSecond/' ./internal/request/balancer "cold"
without "retries have a budget" internal/request/retry/retry.go 's/if b.tokens < 1 \{/if false {/' ./$entry "budget of all"
without "a successor has no reserve at first" internal/request/retry/retry.go 's/b.started.Add\(b.config.Window\)/b.started/' ./internal/request/retry "whichever entries restart"
without "few entries send to a cold endpoint" internal/request/balancer/warmup.go 's/if share < minShare/if false/' ./internal/request/balancer "however many"
without "budgets are shared" internal/request/retry/retry.go 's/slack \/ float64\(max\(1, entries\)\)/slack/' ./$entry "budget of all"
without "retries stay within the route's attempts" internal/connection/caller/retry.go 's/d.possibleRuns >= d.maxAttempts\(\)/false/' ./$entry "any schedule of faults"
without "what may have run is not refused as not run" internal/connection/caller/retry.go 's/d.mayHaveRun = true/d.mayHaveRun = false/' ./$entry "any schedule of faults"
without "answers have their proof" platform/endpointdialect.go 's/h.Get\(headerSignature\) == ""/false/' ./$entry "any schedule of faults"
without "left armings are undone" $switch/recover.go 's/for a := range armed \{/for a := range map[Arming]bool{} {/' ./$entry "any schedule around"
without "a group is held while it is armed" $switch/switcher.go 's/err = s.send\(ctx, 0, Hold\{Step: step\}\)/err = nil/' ./$entry "any schedule around"
without "a standing group is taken over" $entry/holdwatch.go 's/m.lease.TakeOver\(/_ = (/' ./$entry "group on hold"
without "entries that shut down take no lease" internal/connection/peer/tablegossip.go 's/\tg.steppingDown = true/\tg.steppingDown = false/' ./$entry "shutting down"
without "accounts have a priority" platform/config.go 's/Priority: t.priority\(\)/Priority: nil/' ./$entry "priority of their client account"
without "held domains get no work (soak)" $entry/directfleet.go 's/e.member.SetHeld\(held\[.*/e.member.SetHeld(false)/' ./internal/soak 1
without "a busy endpoint must say that it did not run (soak)" platform/endpointdialect.go 's/case impliesNotExecuted\(status\)/case false/' ./internal/soak 4
without "events are checked by id (soak)" internal/request/eventstream/splicer.go 's/if id != s.lastID\+1 \{/if false {/' ./internal/soak 3
without "samples weigh by their choices" $entry/popularity.go 's/choices \/ p.weight/0.5/' ./$entry "popularity of experts"
without "a sample that stands still is left" $entry/mapsample.go 's/c.sampleNextRank\("no requests"\)//' ./$entry "first ranks get no requests"
without "tokens are raised at a takeover" $switch/recover.go 's/err := s.raiseToken\(ctx\); err/err := error(nil); err/' ./$entry "expert maps"
without "groups are held while ranks are armed" $switch/switcher.go 's/err = s.send\(ctx, 0, Hold\{Step: step\}\)/err = nil/' ./$entry "expert maps"
without "ranks are disarmed under a hold" $switch/recover.go 's/err := s.send\(ctx, rank, Hold\{Step: a.Step\}\)/err := error(nil)/' ./$entry "expert maps"
without "forgotten holds are ended" $switch/recover.go 's/held\[\*r.Held\] = true//' ./$entry "expert maps"
wait
