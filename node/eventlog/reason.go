package eventlog

// ReasonQueueFull is the cause of a statement that was rejected because the queue
// of its member was full.
const ReasonQueueFull = "too many statements wait for the member"

// ReasonQuota is the cause of an operation that was rejected because its team had
// reached its limit over all hosts.
const ReasonQuota = "the team has used up its limit"
