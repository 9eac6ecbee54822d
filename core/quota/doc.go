// Package quota keeps the teams' limits: how many operations a team may run, over
// all hosts together. It has no I/O and no clock.
//
// Every team has a counter, the host that rendezvous hashing ranks first for it. It
// keeps a ledger of what it has paid for in the last window. Every other host runs
// an operation of the team once the counter has paid for it, or ahead of the payment
// on a small reserve of its own. What was run ahead is a debt, which the counter
// pays first; while it stands, the reserve is smaller by it. Where the counter does
// not answer, the host ranked second, the deputy, pays out of a ledger of its own.
//
// Load pattern: a team has forty callers on as many hosts and sends one operation
// a second to each; then one team sends eight times its usual. A share of the limit
// for each host would be less than one operation, so hosts ask; a host that reserved
// what it may need would keep it from the others, so nothing is paid for that has
// not been asked for.
//
// # The bound
//
// In any window of length W no more than (rate*W + burst) * (1+share) + operations
// run, with share and operations from the platform's Tolerance. The counter pays for
// rate*W + burst and four fifths of the tolerance in any window. One tenth of the
// tolerance is the hosts' for running ahead, of which each has a whole number so that
// they add up to no more, and one tenth is the deputy's. It holds because
//
//   - a host that is cut off has its reserve once, not once a second: only a payment
//     restores it. A fleet cut in two has one counter and one deputy;
//   - an answer is used only while its question is waited for, and not after the host
//     has stood still: a late or repeated answer pays for nothing. A repeated question
//     is paid twice in the ledger, which errs on the safe side;
//   - a host that dies takes what was paid for with it, and runs nothing ahead for a
//     window once it is back;
//   - a limit that is lowered binds at the counter as soon as that knows of it,
//     whatever the others know;
//   - a counter that starts again has no memory of the window, but payments come in
//     at an even pace, from nothing, and its start takes longer than the pace takes
//     to bring in the burst that goes before;
//   - times are those of a steady clock that counts suspension; the time of day plays
//     no part.
//
// What it does not cover: while hosts disagree on who is registered, two of them may
// take themselves for the counter, for as long as news of a registration is under
// way. A host that knows of no registered host counts by itself.
package quota
