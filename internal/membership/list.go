package membership

// EndpointList is a list of all endpoints, or of the endpoints that have changed since an earlier list.
type EndpointList struct {
	Revision  int64      `json:"revision"` // increases with each change; not comparable between discovery addresses
	Complete  bool       `json:"complete"` // false: Endpoints contains only the changes since an earlier revision
	Endpoints []Endpoint `json:"members"`
}

// Validate returns an error for the first invalid endpoint: a *MissingIDError, *UnknownPhaseError or *AddressError.
// The caller must then reject the whole list, because the invalid entry could be that of a draining endpoint.
func (l *EndpointList) Validate() error {
	for i := range l.Endpoints {
		if err := l.Endpoints[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}
