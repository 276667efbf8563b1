#!/usr/bin/env bash
# Checks that the tests detect a missing mechanism: removes one mechanism at a time
# in a scratch copy and expects the named specs to fail. Prints one line for each
# mechanism: "red" if they fail; a status in capitals if they pass without it, if the
# pattern does not apply, or if the source does not build without it.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
parallel=4
# Skips the tests that fail without any change.
export KNOWN_RED="pass over"

# without NAME FILE SED-EXPRESSION PACKAGE FOCUS runs the specs of PACKAGE that match
# FOCUS without the mechanism; for internal/soak, FOCUS is a seed. An empty FOCUS runs all
# tests of PACKAGE.
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
  [ -n "$5" ] || focus=()
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
without "request records outlive late attempts" $gate/ledger.go 's/maxRecordAge = 3/maxRecordAge = 1/' ./$gate "any schedule"
without "attempts of old or future epochs are refused" $gate/ledger.go 's/return attemptEpoch <= .*/return true/' ./$gate "any schedule|paused"
without "sealed attempts are refused" $gate/ledger.go 's/return outcome.Sealed/return ""/' ./$gate "any schedule"
without "a request is not admitted twice unless it is idempotent" $gate/ledger.go 's/case r.admitted \&\& !a.Idempotent/case false/' ./$gate "any schedule"
without "cold endpoints have a lower concurrency limit" $gate/limiter.go 's/if l.warmupLeft > 0/if false/' ./$gate "cold gate"
without "gates open only after a load report" $gate/gate.go 's/case !g.reporting:/case false:/' ./$gate "cold gate"
without "gates close when the endpoint refuses connections" $gate/gate.go 's/g.reporting = g.reporting \&\& !c.NeverSent//' ./internal/proof "endpoint killed"
without "links whose probe gets no reply are closed" internal/connection/sidecar/link.go 's/silent := .*/silent := false/' ./internal/proof "link blackholed"
without "attempts are sealed before a retry" internal/connection/caller/dispatch.go 's/return d.sealAttempt\(ctx, a, t.Link\)$/_ = t; return tryAgain{reason: outcome.ConnectionLost}/' ./internal/proof "booking: link"
without "a claim decides which entry runs an idempotency key" internal/connection/caller/claim.go 's/if held.Claim == mine \{/if true {/' ./internal/proof "repeated idempotency key"
without "a request that may have run is not reported as not run" internal/connection/caller/retry.go 's/d.mayHaveRun = true/d.mayHaveRun = false/' ./internal/proof "reported as unknown"
without "truncated responses are detected" internal/connection/sidecar/exchange.go 's/whole := .*/whole := true/' ./internal/connection/sidecar "end"
quarantine=internal/request/quarantine
without "a prompt part without a response is suspected after one crash" $quarantine/record.go 's/return !r.LastCrash.IsZero\(\)/return false/' ./internal/process/entry "prompt part that crashes"
without "a response clears a prompt part" $quarantine/quarantine.go 's/r.LastAnswer = now/_ = now/' ./$quarantine ""
without "parts that another entry suspects by mistake are corrected first" $quarantine/quarantine.go 's/wrong\[r.Part\] = true/_ = wrong/' ./$quarantine ""
without "two crashes without a response make a prompt part suspect" $quarantine/record.go 's/return r.LastAnswer.Before\(r.PreviousCrash\)/return false/' ./$quarantine ""
without "one trial at a time" $quarantine/quarantine.go 's/, r.LastTrial.Add\(trialTime\).Sub\(now\)/, 0/' ./$quarantine ""
without "all parts of a prompt are read" platform/callerdialect.go 's/id = strings.TrimSpace\(id\); id != ""/id = strings.TrimSpace(id); id != "" \&\& len(shared) < 64/' ./internal/process/entry "behind any number"
without "the likeliest prompt parts are told first" $quarantine/record.go 's/case a.Likelihood != b.Likelihood:/case false:/' ./$quarantine ""
without "less likely prompt parts are blocked shortly" $quarantine/quarantine.go 's/ \&\& t.isLessLikely\(r\)/ \&\& false/' ./$quarantine ""
without "a crash that several entries notice counts once" $quarantine/record.go 's/eventTolerance = 2 \* time.Second/eventTolerance = 0/' ./$quarantine ""
without "suspected requests are taken back from endpoints" $quarantine/waiting.go 's/recallable = append\(recallable, w\)/_ = w/' ./internal/process/entry "prompt part that crashes"
without "other entries are told of suspected prompt parts" internal/connection/peer/tablegossip.go 's/g.suspects.Merge\(.*//' ./internal/process/entry "prompt part that crashes"
without "only endpoints that refuse connections have crashed" internal/process/entry/crashcheck.go 's/if refused \{/if refused \&\& false {/' ./internal/process/entry "prompt part that crashes"
balancer=internal/request/balancer
without "entries keep to the limits that endpoints name" $balancer/member.go 's/ \&\& m.RequestLimit.(Ready|Take)\(\)//' ./internal/process/entry "names a request limit"
without "limits of endpoints are divided among entries" internal/process/entry/requestlimits.go 's/f.liveEntries\(\), named.Endpoint/[]string{f.settings.Instance}, named.Endpoint/' ./internal/process/entry "names a request limit"
without "too small shares of limits go to some entries only" $balancer/requestlimit.go 's/minLimitShare = 0.5/minLimitShare = 0.01/' ./$balancer "names a request limit"
without "limits of endpoints end" internal/process/entry/requestlimits.go 's/if perSecond == 0 \&\& !limited/if perSecond == 0/' ./internal/process/entry "names a request limit"
without "limits that nobody hears of end" $balancer/requestlimit.go 's/ \&\& time.Since\(l.named.NamedAt\) < l.lifetime//' ./$balancer "names a request limit"
without "exchanges do not make limits younger" $balancer/requestlimit.go 's/limitTolerance = 500/limitTolerance = 0/' ./$balancer "names a request limit"
without "other entries are told of limits" internal/connection/peer/tablegossip.go 's/g.limits.ApplyLimits\(.*//' ./internal/process/entry "names a request limit"
without "older bundle versions are ignored" internal/version/view/view.go 's/s.Version <= v.Version\(\)/false/; s/v.signed != nil \&\& s.Version <= v.signed.Version/false/' ./internal/proof "late copies"
without "signatures of bundles are verified" pkg/bundle/signed.go 's/!ed25519.Verify\(/false \&\& !ed25519.Verify(/' ./internal/proof "wrong signatures"
without "signatures of orders are verified" pkg/order/order.go 's/!ed25519.Verify\(/false \&\& !ed25519.Verify(/' ./internal/proof "forged"
without "processes with a stale view accept no work" internal/version/view/view.go 's/FreshFor = 3/FreshFor = 30/' ./internal/proof "cut off"
without "the age of a peer's view counts in its confirmation" internal/connection/peer/viewgossip.go 's/g.view.Confirm\(asked.Add.*/g.view.Confirm(time.Now())/' ./internal/proof "pass on old"
without "a return order releases only the holds that it names" internal/version/view/view.go 's/!released\[id\]/!(released[id] || len(released) > 0)/' ./internal/proof "does not list it"
without "orders are recorded once the table is reachable again" internal/connection/store/poller.go 's/return p.intent.RecordOrders\(ctx, missing\)/return nil/' ./internal/proof "recorded later"
without "the current bundle is set by compare-and-swap" internal/connection/store/intent.go 's/if err == nil \&\& results\[0\].Applied/if err == nil \&\& len(results) == 1/' ./internal/proof "apply at once"
without "writes without a response are read back" internal/connection/store/intent.go 's/return i.confirmApplied\(ctx, s\)/return err/' ./internal/proof "response to the write was lost"
without "ranks refuse commands for another incarnation" $map/participant.go 's/e.Incarnation == p.incarnation \&\& //' ./$map "switch"
without "ranks refuse commands of lower ballots" $map/participant.go 's/if e.Ballot.Less\(p.promised\) \{/if false {/; s/ \&\& e.Ballot == p.promised//' ./$map "switch"
without "a hold counts only once it is in effect" $map/participant.go 's/return s.HoldStep == c.Step \&\& s.Step <= c.Step/return true/' ./$map "switch"
without "ranks wait until earlier commands cannot take effect" $map/participant.go 's/wait := time.Until\(p.quietAt\)/wait := time.Duration(0)/' ./$map "switch"
without "an unfinished map switch is completed first" $map/coordinator.go 's/if reply.State.Active != latest.Active \{/if reply.State.Active != latest.Active \&\& false {/' ./$map "switch"
entry=internal/process/entry
switch=internal/version/expertswitch
without "broken exchanges are not reported as shed" internal/connection/endpoint/direct.go 's/x.finish\(BrokenOff\{\}, transport.Broken\{\}\)/x.finish(BrokenOff{}, transport.Refused{Reason: outcome.Shed})/' ./$entry "may run only once"
without "responses need a signature" platform/endpointdialect.go 's/h.Get\(headerSignature\) == ""/false/' ./$entry "may run only once"
without "responses must carry the attempt's id" platform/endpointdialect.go 's/echo != a.Header.Get\(headerAttemptID\)/false/' ./$entry "may run only once"
without "a status that implies no execution needs the header for it" platform/endpointdialect.go 's/case impliesNotExecuted\(status\)/case false/' ./$entry "may run only once"
without "attempts name the endpoint that they are meant for" platform/endpointdialect.go 's/a.Header.Set\(headerEndpoint, name\)//' ./$entry "took over"
without "ids of stream events are checked" internal/request/eventstream/splicer.go 's/if id != s.lastID\+1 \{/if false {/' ./$entry "repeated event"
without "incomplete stream events are dropped" internal/request/eventstream/splicer.go 's/\{ s.partial, s.searched = nil, 0 \}/{}/' ./$entry "within one response"
without "endpoints that are leaving get no requests" $entry/directendpoint.go 's/e.member.ApplyAnnouncement\(.*/e.member.ApplyGateState(info.Slots, 0, !info.Leaving)/' ./$entry "taken over"
without "a retry after a replaced endpoint costs budget" internal/request/retry/retry.go 's/return CostBudget$/return CostNone/' ./$entry "turned away"
without "streams resume after the last event sent" internal/connection/caller/dispatch.go 's/a.ResumeAfter = d.delivery.splicer.LastID\(\)//' ./$entry "that break off resume"
without "older configurations are ignored" $entry/directfleet.go 's/b.Version < now.Version/false/' ./$entry "never goes back"
without "held failure domains get no requests" $entry/directfleet.go 's/e.member.SetHeld\(held\[.*/e.member.SetHeld(false)/' ./$entry "held failure domain"
without "lapsed rows stay for a grace period" internal/version/mirror/mirror.go 's/lapseGrace = 2200/lapseGrace = 1/' ./$entry "rows lapsed"
without "lapsed rows expire" internal/version/mirror/mirror.go 's/lapseGrace = 2200/lapseGrace = 220000/' ./$entry "rows lapsed"
without "peers do not extend the grace period of lapsed rows" internal/version/mirror/mirror.go 's/Add\(l.Remaining\)/Add(lapseGrace)/' ./internal/version/mirror "lengthen"
without "rows that an authoritative snapshot lacks are deleted at once" internal/version/mirror/mirror.go 's/case s.Authoritative:/case false:/' ./internal/version/mirror "never lost the store"
without "tables are read anew when the store lost its history" platform/store.go 's/status == http.StatusGone/status == 999/' ./$entry "loses its history"
without "the era of a store orders its revisions" internal/table/table.go 's/if r.Era != other.Era \{/if false {/' ./$entry "comes back from a copy"
without "entries tell each other the era of their copies" internal/connection/peer/tablegossip.go 's/Topic: string\(t\), Era: revision.Era, /Topic: string(t), /' ./$entry "get copies from others"
without "a feed does not continue in another era" internal/connection/store/follower.go 's/if d.Revision.Era != since.Era \{/if false {/' ./$entry "hides no change"
without "changes of one row in one response apply in order" platform/store.go 's/case last\[r.Key\] != i:/case last[r.Key] < i:/' ./platform ""
without "rows of endpoints have every field" platform/rows.go 's/if !s.isComplete\(\)/if s.Service == nil || s.Address == nil || s.Zone == nil || s.Slots == nil || s.State == nil || s.ColdRemainingMs == nil || s.Born == nil/' ./platform ""
without "targets with two slashes are sent as they are" internal/connection/endpoint/target.go 's/if !strings.HasPrefix\(target, "\/\/"\)/if !strings.HasPrefix(target, "?")/' ./$entry "reaches the endpoint unchanged"
without "an encoded slash is part of a segment" internal/connection/caller/request.go 's/(path, _, _ := strings.Cut\(q.target, "\?"\))/\1; path = strings.ReplaceAll(path, "%2F", "\/")/' ./$entry "selects the route as it was sent"
without "targets in absolute form are sent in origin form" internal/connection/caller/request.go 's/originForm\(r.RequestURI\)/r.RequestURI/' ./$entry "absolute form"
without "dropped rows do not come back from a peer" internal/version/mirror/mirror.go 's/dropped := c.known/dropped := false/' ./internal/version/mirror "dropped row"
without "a lease is acquired anew in a later era" internal/connection/store/lease.go 's/return !k.held\(\) \|\| .*/return !k.held()/' ./internal/connection/store ""
without "no fencing token passes 64 bits" internal/connection/store/lease.go 's/r.Era >= maxEras/false \&\& r.Era >= maxEras/' ./internal/connection/store ""
without "a list of prompt parts may be divided" platform/callerdialect.go 's/strings.Join\(h.Values\(name\), ","\)/h.Get(name)/' ./platform ""
without "known peers stay known in a full table" internal/connection/peer/tablegossip.go 's/\(!known \&\& len\(g.peers\) >= maxPeers\)/((known || true) \&\& len(g.peers) >= maxPeers)/' ./internal/connection/peer ""
without "all endpoints that a request tried are excluded" internal/request/balancer/picker.go 's/MaxExcluded = 5/MaxExcluded = 4/' ./internal/request/balancer ""
without "a preview takes no credit of an account" internal/request/admission/limiter.go 's/^\td, _ := l.decide\(r\)/\td, credit := l.decide(r)\n\tif s := l.shares[r.Account]; s != nil {\n\t\ts.newCredit = credit\n\t}/' ./internal/request/admission ""
without "a preview is refused by the quarantine" internal/connection/caller/preview.go 's/case !d.promptAllowed\(false\):/case false:/' ./$entry "where a request would go"
without "pages of a table belong to one era" platform/store.go 's/case a.era != out.Revision.Era:/case false:/' ./platform ""
without "rereads that do not help wait" internal/connection/store/follower.go 's/if rereads == 1 \{/if true {/' ./$entry "keeps no history"
without "fencing tokens rise with the era" internal/connection/store/lease.go 's/k.acquiredRevision.Era\*tokensPerEra \+ //' ./internal/connection/store ""
without "a copy's older rows do not replace later ones" internal/version/mirror/restore.go 's/known.Era < row.Era \&\& m.writeOrder/false \&\& m.writeOrder/' ./$entry "comes back from a copy"
without "removed rows that a copy brings back are withheld" internal/version/mirror/restore.go 's/ok \&\& removed.Era < row.Era/false/' ./$entry "comes back from a copy"
without "rows that a copy lacks stay for a while" internal/version/mirror/mirror.go 's/case restored:/case false:/' ./$entry "comes back from a copy"
without "withheld rows are used in the end" internal/version/mirror/restore.go 's/c.rows\[key\] = w.row/_ = w/' ./$entry "comes back from a copy"
without "a restore does not make endpoints cold again" $entry/directendpoint.go 's/return info.ColdFor == e.info.ColdFor/return false/' ./$entry "comes back from a copy"
without "a table that lost the bundle gets it again" internal/connection/store/poller.go 's/case held != nil \&\& stored < held.Version:/case false:/' ./internal/proof "table that comes back"
without "writes of orders with one revision differ" internal/connection/store/intent.go 's/Nonce: string\(row.Value\)/Nonce: ""/' ./internal/proof "table that comes back"
without "endpoints whose responses say that they leave get no requests" internal/connection/endpoint/direct.go 's/if x.direct.dialect.Leaving\(h\) \{/if false {/' ./$entry "say that it is leaving"
without "a row does not open an endpoint that said that it is leaving" $entry/directendpoint.go 's/ \&\& !e.leaving\)/)/' ./$entry "say that it is leaving"
without "endpoints that name a pause get no requests" $balancer/member.go 's/ \&\& m.PausedFor\(\) == 0//' ./$entry "when it takes the next"
without "callers return after the first pause" $entry/directfleet.go 's/case usable == 0 \&\& shortestPause > 0:/case false:/' ./$entry "when it takes the next"
without "tables are copied from peers" internal/connection/peer/tablegossip.go 's/g.mirror.Replace\(.*//' ./$entry "comes from peers"
without "watch calls without a response time out" internal/connection/store/follower.go 's/longPollWait = 1500/longPollWait = 15000/' ./$entry "calls unanswered"
without "the rate of requests to cold endpoints is limited" internal/request/balancer/warmup.go 's/w.refill\(\) \|\| w.bucket.(has|take)\(\)/true/' ./$entry "cold"
without "entries share the rate limit of a cold endpoint" internal/request/balancer/warmup.go 's/share := perSecond .*/share := perSecond/' ./internal/request/balancer "cold"
without "retries need a budget" internal/request/retry/retry.go 's/if b.tokens < 1 \{/if false {/' ./$entry "budget of all"
without "a restarted entry has no retry burst at first" internal/request/retry/retry.go 's/b.started.Add\(b.config.Window\)/b.started/' ./internal/request/retry "whichever entries restart"
without "of many entries, only some send to a cold endpoint" internal/request/balancer/warmup.go 's/if share < minShare/if false/' ./internal/request/balancer "however many"
without "entries share the retry budget" internal/request/retry/retry.go 's/slack \/ float64\(max\(1, entries\)\)/slack/' ./$entry "budget of all"
without "retries stay within the route's maximum of attempts" internal/connection/caller/retry.go 's/d.possibleRuns >= d.maxAttempts\(\)/false/' ./$entry "any schedule of faults"
without "a request that may have run is not reported as not run (any schedule)" internal/connection/caller/retry.go 's/d.mayHaveRun = true/d.mayHaveRun = false/' ./$entry "any schedule of faults"
without "responses need a signature (any schedule)" platform/endpointdialect.go 's/h.Get\(headerSignature\) == ""/false/' ./$entry "any schedule of faults"
without "armed ranks of an abandoned switch are disarmed" $switch/recover.go 's/for a := range armed \{/for a := range map[Arming]bool{} {/' ./$entry "any schedule around"
without "groups are held while ranks are armed (any schedule)" $switch/switcher.go 's/err = s.send\(ctx, 0, Hold\{Step: step\}\)/err = nil/' ./$entry "any schedule around"
without "a group that is stuck at a hold is taken over" $entry/holdwatch.go 's/m.lease.TakeOver\(/_ = (/' ./$entry "group on hold"
without "entries that shut down acquire no lease" internal/connection/peer/following.go 's/\tg.steppingDown = true/\tg.steppingDown = false/' ./$entry "shutting down"
without "accounts have a priority" platform/config.go 's/Priority: t.priority\(\)/Priority: nil/' ./$entry "priority of their client account"
without "held failure domains get no requests (soak)" $entry/directfleet.go 's/e.member.SetHeld\(held\[.*/e.member.SetHeld(false)/' ./internal/soak 1
without "a status that implies no execution needs the header for it (soak)" platform/endpointdialect.go 's/case impliesNotExecuted\(status\)/case false/' ./internal/soak 4
without "ids of stream events are checked (soak)" internal/request/eventstream/splicer.go 's/if id != s.lastID\+1 \{/if false {/' ./internal/soak 3
without "popularity samples are weighted by their number of expert choices" $entry/popularity.go 's/choices \/ p.weight/0.5/' ./$entry "popularity of experts"
without "ranks without requests are left for the next rank to sample" $entry/mapsample.go 's/c.sampleNextRank\("no requests"\)//' ./$entry "first ranks get no requests"
without "a takeover raises the fencing token" $switch/recover.go 's/err := s.raiseToken\(ctx\); err/err := error(nil); err/' ./$entry "expert maps"
without "groups are held while ranks are armed" $switch/switcher.go 's/err = s.send\(ctx, 0, Hold\{Step: step\}\)/err = nil/' ./$entry "expert maps"
without "ranks are disarmed under a hold" $switch/recover.go 's/err := s.send\(ctx, rank, Hold\{Step: a.Step\}\)/err := error(nil)/' ./$entry "expert maps"
without "holds of an abandoned switch are ended" $switch/recover.go 's/held\[\*r.Held\] = true//' ./$entry "expert maps"
admission=internal/request/admission
without "entries are told of a gate that opens before the first tick" internal/connection/entry/server.go 's/last gate.State\) \{/_ gate.State) {\n\tlast := s.gate.State()/' ./internal/connection/entry ""
without "maps stay where ranks accept lower fencing tokens" $entry/storeenvironment.go 's/s.Deployment.FencedCommands \&\& //' ./$entry "do not refuse lower|where they do not"
without "maps are sent at the rate of the link" $switch/pacer.go 's/err := p.limiter.WaitN\(.*\); err/err := error(nil); err/' ./$switch ""
without "the time allowed for a map follows what maps take" $switch/pacer.go 's/p.allowed, p.raisedAt = .*/_ = now/' ./$switch ""
without "a lease that changed hands is not taken over again" internal/connection/store/lease.go 's/takeOver \&\& k.mayTakeOver\(\)/takeOver/' ./$entry "taken over by one"
without "a lease expires soon after its holder is lost" internal/connection/store/lease.go 's/leaseDuration = 1500/leaseDuration = 4500/' ./$entry "soon after a lease holder"
without "changes of a table have the removed rows" internal/version/mirror/mirror.go 's/s.Removed = c.removedSince.*/_ = s/' ./internal/version/mirror "copy only what changed"
without "removals between two complete reads are not known" internal/version/mirror/mirror.go 's/^\t\tc.forgetRemovals\(s.Revision\)/\t\t_ = c/' ./internal/version/mirror "never go back"
without "a pause in an outage begins the grace period" internal/version/mirror/mirror.go 's/(if m.lastCallFailed) \{/\1 \&\& !m.paused \&\& false {/' ./internal/version/mirror "in which they paused"
without "accounts that flood are limited alone" $admission/planner.go 's/if len\(floods\) == 0 \|\| /if true || /' ./$admission ""
without "full endpoints alone limit nobody" $admission/planner.go 's/return full \&\& .*/_ = late; return full/' ./$admission ""
without "late requests at full endpoints limit all accounts" $admission/planner.go 's/\(late \|\| (.*)\)$/(\1 || late \&\& false)/' ./$admission ""
without "the usual demand of an account rises slowly" $admission/usual.go 's/min\(usual\*math.Exp2\(doublings\), (.*)\)$/\1/' ./$admission ""
without "entries share the limit of an account" $admission/limiter.go 's/ \* own.Accounts\[account\].total\(\) \/ limit.Demand//' ./$admission ""
without "limits end if no plan comes" $admission/limiter.go 's/age > planLifetime \|\| r.Resumes/r.Resumes/' ./$admission ""
without "only entries with the loads of most make plans" $admission/controller.go 's/minCoverage = 0.6/minCoverage = 0.2/' ./$admission ""
without "accounts are limited (entry)" internal/connection/caller/admission.go 's/if s.Admission == nil \{/if true {/' ./$entry "that floods"
without "entries fill ranks from starts of their own" $balancer/place.go 's/return int\(index\*.*/_ = index*count; return 0/' ./$balancer "free slot at six tenths"
without "entries that are cut off begin at ranks by their hash" $balancer/place.go 's/if len\(entries\) < 2 \{/if false {/' ./$balancer "cut off from each other"
without "ranks with the fewest own requests are picked" $balancer/even.go 's/load < least/load <= least+1/' ./$balancer "fewest own requests"
without "failed attempts count for a while" $balancer/even.go 's/ \+ m.member.failures.recent\(\)//' ./$balancer "fails them at once"
without "groups of ranks get requests by the times of their passes" $balancer/even.go 's/^\t\trebalance\(.*//' ./$balancer "lock-step"
without "groups that keep the longest pause are left alone" $balancer/lockstep.go 's/case longest == 0:/case true:/' ./$balancer "left alone"
without "groups that do not keep the longest pause are relieved" $balancer/lockstep.go 's/case pass > keptPart\*longest .*/case false:/' ./$balancer "have room for"
without "the slowest group has what is too much for all" $balancer/lockstep.go 's/\(pass < slowest \|\| mean/(mean/' ./$balancer "too many for all"
without "failed attempts count at their group" $balancer/even.go 's/requests \+= m.requests\(\)/requests += float64(m.member.own.Load())/' ./$balancer "whose ranks fail"
without "failed attempts are forgotten one by one" $balancer/failures.go 's/count := f.recent\(\) .*/count := math.Float64frombits(f.bits.Load()) + failureWeight/' ./$balancer "now and then"
without "ranks are filled by their slots" $balancer/even.go 's/ \* m.scale$//' ./$balancer "by their slots"
without "ranks are checked when they are picked" $balancer/even.go 's/ \&\& q.allows\(m.member\)//' ./$balancer "just changed"
without "a group without passes is relieved" $balancer/lockstep.go 's/return max\(l.pass, silence\)/return l.pass/' ./$balancer "of any number"
without "groups that have recovered get requests soon" $balancer/lockstep.go 's/, pass < others \&\& l.emptied:/:/' ./$balancer "soon"
without "relieved groups get requests again" $balancer/lockstep.go 's/l.settled \+= \(1 - l.settled\).*/_ = restore/' ./$balancer "few requests"
without "entries learn the times of passes from their streams" internal/connection/endpoint/direct.go 's/x.observeStream\(readAt\)/_ = readAt/' ./internal/process/entry "placement of streams"
without "entries know their place among the others" internal/process/entry/placement.go 's/f.place.Set\(.*//' ./internal/process/entry "placement of streams"
without "of equal endpoints, that with fewer requests of others is picked" internal/request/balancer/picker.go 's/one.othersLoad\(\) <= two.othersLoad\(\)/true/' ./internal/request/balancer "fewer requests of other"
without "slots are left free for more urgent requests" $admission/levels.go 's/ - reserve\*min.*$/ + 0*above/' ./$admission ""
without "requests that return go beyond new ones" $admission/levels.go 's/share \+= returnedExcess/share += 0/' ./$admission ""
without "no level starves" $admission/levels.go 's/ \|\| l.starves\(r.Level\)//' ./$admission ""
without "the rise of the requests in progress is expected to go on" $admission/levels.go 's/lead = 0.5/lead = 0/' ./$admission ""
without "the room rises slowly" $admission/levels.go 's/min\(slots, max\(.*\)\)$/slots + 0*rise/' ./$admission ""
without "levels go with what the configuration holds" $admission/levels.go 's/if r.Levels <= 1 \{/if false {/' ./$admission ""
without "nobody is turned away without counts of others" $admission/levels.go 's/!l.known \|\| //' ./$admission ""
without "the route decides among accounts of the same priority" pkg/bundle/urgency.go 's/, cmp.Compare\(o.route, r.route\)//' ./pkg/bundle "urgency"
without "heads without end are cut off" internal/connection/endpoint/endpoint.go 's/MaxResponseHeaderBytes: .*//' ./internal/connection/endpoint ""
without "events without end are cut off" internal/request/eventstream/splicer.go 's/len\(s.partial\) > maxEventBytes/false/' ./internal/connection/endpoint ""
without "error responses without end are broken off" internal/connection/endpoint/direct.go 's/, failed \&\& len\(content\) == maxBufferedBytes:/:/' ./internal/connection/endpoint ""
wait
