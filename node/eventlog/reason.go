package eventlog

// ReasonFull is the cause of a statement that was turned away because the queue
// for its member has no room.
const ReasonFull = "too many statements wait for the member"
