package eventlog

// ReasonQueueFull is the cause of a statement that was rejected because the queue
// of its member was full.
const ReasonQueueFull = "too many statements wait for the member"

// ReasonDisplaced is the cause of a waiting statement that was rejected because a more
// urgent one took its place in the full queue of its member.
const ReasonDisplaced = "a more urgent statement took its place in the member's queue"

// ReasonHopeless is the cause of a waiting statement that was rejected before its deadline
// because it could not start in time any more.
const ReasonHopeless = "it cannot start in time because of what has arrived since"

// ReasonAllOverloaded is the cause of a read that a host rejected by itself, possibly after
// attempts on members, because according to load reports each that could serve it has too
// long a queue.
const ReasonAllOverloaded = "every member that could serve the read has too long a queue"

// ReasonQuota is the cause of an operation that was rejected because its team had
// reached its limit over all hosts.
const ReasonQuota = "the team has used up its limit"
