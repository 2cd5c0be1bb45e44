package membership

// EndpointList is a list of all endpoints, or of the changes to an earlier one.
type EndpointList struct {
	Revision  int64      `json:"revision"` // increases with each change, separately for each address of discovery
	Complete  bool       `json:"complete"` // false: Endpoints are the changes since an earlier revision
	Endpoints []Endpoint `json:"members"`
}

// Validate returns an error that names the first invalid endpoint: a MissingIDError, UnknownPhaseError or AddressError.
// The list must then be rejected as a whole: the entry skipped could be an endpoint that is draining.
func (l *EndpointList) Validate() error {
	for i := range l.Endpoints {
		if err := l.Endpoints[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}
