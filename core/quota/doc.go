// Package quota keeps the teams' limits: how many operations a team may run, over
// all hosts together. It has no I/O and no clock.
//
// Every team has a few counters, one in each region, chosen by rendezvous hashing.
// They share its limit evenly, and each pays for operations out of a token bucket of
// its own. A host runs an operation of the team once a counter has paid for it, or
// ahead of the payment on a small reserve of its own. What was run ahead is a debt,
// which is paid first; while it stands, the reserve is smaller by it. A host asks the
// counter of its region, and the others where that one has nothing left or does not
// answer.
//
// Load pattern: a team has forty callers on as many hosts and sends one operation
// a second to each; then one team sends eight times its usual. A share of the limit
// for each host would be less than one operation, so hosts ask; a host that reserved
// what it may need would keep it from the others, so nothing is paid for that has
// not been asked for. Then a quarter of the hosts is cut off, and a counter with
// them: what the other counters have is enough for a team that is not near its limit.
//
// # The bound
//
// In any window of length W no more than (rate*W + burst) * (1+share) + operations
// run, with share and operations from the platform's Tolerance. The buckets together
// pay for rate*W + burst and nine tenths of the tolerance in any window: what they
// pay at once and what comes in during a window add up to that. The last tenth is the
// hosts' for running ahead, of which each has a whole number so that they add up to
// no more. It holds because
//
//   - a host that is cut off has its reserve once, not once a second: only a payment
//     restores it. A fleet that is cut shares the same buckets, on either side;
//   - an answer is used only while its question is waited for, and not after the host
//     has stood still: a late or repeated answer pays for nothing. A repeated question
//     is paid twice, which errs on the safe side;
//   - a host that dies takes what was paid for with it, and runs nothing ahead for a
//     window once it is back;
//   - a limit that is lowered binds at the counters as soon as they know of it,
//     whatever the others know;
//   - a counter without memory, one that has started again or taken over, starts with
//     an empty bucket: what the one before it paid at once is not paid again;
//   - times are those of a steady clock that counts suspension; the time of day plays
//     no part.
//
// What it does not cover: while hosts disagree on who is registered, two of them may
// take themselves for the counter of a region, for as long as news of a registration
// is under way. A host that knows of no registered host counts by itself.
package quota
