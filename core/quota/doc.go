// Package quota enforces the teams' limits: how many operations a team may run on all
// hosts together. It has no I/O and reads no clock.
//
// Every team has a few counters: hosts chosen by rendezvous hashing, one in each region
// where possible. They divide the team's limit evenly, each with its own token bucket.
// A host runs an operation of the team once a counter has granted it. Each host also
// has a small allowance of operations that may run unconfirmed, before the grant;
// grants restore it. A host asks the counter of its own region first, and the others if
// that one is exhausted or does not respond.
//
// Limits are not divided among all hosts because a host's share may be less than one
// operation, and hosts do not reserve operations in advance because reserved ones would
// be unavailable to the others. If one counter is unreachable, the remaining ones cover
// a team that is well below its limit.
//
// # Upper bound
//
// In any window of length W at most (rate*W + burst) * (1+share) + operations run, with
// share and operations from the platform's Tolerance. The buckets together grant at
// most rate*W + burst plus nine tenths of the tolerance in any window, bursts included.
// The last tenth is for unconfirmed operations, divided among the hosts in whole
// operations. The bound relies on these rules:
//
//   - An isolated host can use its allowance once, because only a grant restores it.
//     After a network partition both sides share the same buckets.
//
//   - A grant is used only while its request is pending, and not after the host was
//     suspended. Late and duplicate grants are ignored. A retried request may be
//     granted twice, which only lowers the number of operations.
//
//   - The grants of a host that dies are lost, and a restarted host runs nothing
//     unconfirmed for one window.
//
//   - A lowered limit applies at the counters as soon as they know it, whatever the
//     other hosts know.
//
//   - A counter that has restarted or taken a team over starts with an empty bucket,
//     so the burst is not granted a second time.
//
//   - Times come from a monotonic clock that includes suspension, not from the wall
//     clock.
//
//   - A joining host counts a team only once the counters that it replaces have
//     acknowledged it, and so have stopped (Fleet).
//
//   - A host whose registration has ended is replaced as a counter only once it has
//     answered that it does not count, or has not answered. It joins again when it has
//     registered (Fleet).
//
//   - A counter that is cut off from the store and from all hosts that reach it stops
//     granting its share at the end of its lease, before others can replace it. It goes on
//     with a part of the tolerated excess that the others leave to it (AllotmentOf).
//
// The bound does not hold in these cases: a registration does not reach the counters
// that it replaces within joinPeriod; a counter that has acknowledged a joining host
// restarts before its registration arrives; counters and then their replacements are cut
// off within lapsedPeriodOfGrants. A host that knows no registered host acts as the only
// counter.
package quota
