package dbgroup

// SQLSTATE codes.
const (
	codeSyntax             = "42601"
	codeUndefinedParameter = "42P02"
	codeUndefinedTable     = "42P01"
	codeUndefinedFunction  = "42883"
	codeUniqueViolation    = "23505"
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeTooManyConnections = "53300"
	codeCancelled          = "57014"
	codeUndefinedStatement = "26000"
	codeInvalidArgument    = "22023"
)

// sqlError is an error that a member reports to its client.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }
