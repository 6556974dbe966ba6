package refuser

// statusInternal is the HTTP status of unknown codes.
const statusInternal = 500

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	AlreadyRan:          409,
	ApplyInDoubt:        504,
	ApplyRaced:          409,
	BadRequest:          400,
	BodyTooLarge:        413,
	CallerGone:          499,
	DeadlineExceeded:    504,
	DeclarationRefused:  422,
	Draining:            503,
	HeaderTooLarge:      431,
	IdempotencyConflict: 422,
	InDoubt:             409,
	Internal:            500,
	JobConflict:         409,
	JobNotFound:         404,
	KeyInBody:           400,
	KeyMissing:          401,
	KeyUnknown:          401,
	KeyWithdrawn:        401,
	MethodNotAllowed:    405,
	NoBackendServer:     503,
	NotConfigured:       503,
	OperatorKeyRequired: 403,
	Overloaded:          503,
	PlatformUnavailable: 503,
	RateExceeded:        429,
	WaitingLimit:        429,
	RequestQuarantined:  422,
	RouteNotBatchable:   400,
	RouteNotFound:       404,
	StorageUnavailable:  503,
	UpstreamFailed:      502,
}

// Status returns the HTTP status of a refusal with this code.
func (c Code) Status() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return statusInternal
}

// New returns a refusal with the status of its code.
func New(code Code, outcome Outcome, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: outcome, Status: code.Status()}
}
