package eventlog

// ReasonFull is the cause of a statement that was turned away because the queue
// for its member has no room.
const ReasonFull = "too many statements wait for the member"

// ReasonQuota is the cause of an operation that was refused because its team has
// used up its limit over all hosts.
const ReasonQuota = "the team has used up its limit"
