// Package quota keeps the teams' limits: how many operations a team may run, over
// all hosts together. It has no I/O and no clock.
//
// Every team has a few counters, hosts chosen by rendezvous hashing, one in each
// region. They share its limit evenly, each with a token bucket of its own. A host runs
// an operation of the team once a counter has granted it. A few operations may run
// unconfirmed, before the grant; each host has a small allowance for them, which is
// restored as they are granted. A host asks the counter of its region, and the others
// where that one has nothing left or does not answer.
//
// Load pattern: a team has forty callers on as many hosts and sends one operation
// a second to each; then one team sends eight times its usual. A share of the limit
// for each host would be less than one operation, so hosts ask; a host that reserved
// what it may need would keep it from the others, so nothing is granted that has not
// been asked for. Then a quarter of the hosts is cut off, and a counter with them: what
// the other counters have is enough for a team that is not near its limit.
//
// # The bound
//
// In any window of length W no more than (rate*W + burst) * (1+share) + operations
// run, with share and operations from the platform's Tolerance. The buckets together
// grant rate*W + burst and nine tenths of the tolerance in any window: their bursts, and
// what comes in during a window, add up to that. The last tenth is for unconfirmed
// operations; each host has a whole number of them, and all together no more than that
// tenth. It holds because
//
//   - a host that is cut off has its allowance once, not once a second: only a grant
//     restores it. A fleet that is cut shares the same buckets, on either side;
//   - a grant is used only while its request is waited for, and not after the host has
//     stood still: a late or repeated one grants nothing. A repeated request is granted
//     twice, which errs on the safe side;
//   - a host that dies takes its grants with it, and runs nothing unconfirmed for a
//     window once it is back;
//   - a limit that is lowered binds at the counters as soon as they know of it,
//     whatever the others know;
//   - a counter without memory, one that has started again or taken over, starts with
//     an empty bucket: the burst of the one before it is not granted again;
//   - times are those of a steady clock that counts suspension; the time of day plays
//     no part.
//
// What it does not cover: while hosts disagree on who is registered, two of them may
// take themselves for the counter of a region, for as long as news of a registration
// is under way. A host that knows of no registered host counts by itself.
package quota
