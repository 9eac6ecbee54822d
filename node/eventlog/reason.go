package eventlog

// ReasonQueueFull is the cause of a statement that was rejected because the queue
// of its member was full.
const ReasonQueueFull = "too many statements wait for the member"

// ReasonAllOverloaded is the cause of a read that a host rejected by itself, possibly after
// attempts on members, because according to load reports each that could serve it has too
// long a queue.
const ReasonAllOverloaded = "every member that could serve the read has too long a queue"

// ReasonQuota is the cause of an operation that was rejected because its team had
// reached its limit over all hosts.
const ReasonQuota = "the team has used up its limit"
