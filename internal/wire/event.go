package wire

import "cindersaddle/balance"

// decodeEvent decodes the content of a record that carries an event of package balance.
func (r *Reader) decodeEvent(code uint16, fields *cursor) (balance.Event, error) {
	switch code {
	case codeRequest:
		return decodeRequest(fields), nil
	case codeTimerFired:
		return balance.TimerFired{Token: fields.uint64()}, nil
	case codeStreamStarted:
		return decodeStreamStarted(fields), nil
	case codeEndpointUpdate:
		return r.decodeEndpointUpdate(fields)
	case codeHealthCheckResult:
		return r.decodeHealthCheckResult(fields)
	case codeAttemptEnded:
		return r.decodeOutcome(fields)
	case codeClientGone:
		return balance.ClientGone{Request: fields.requestID()}, nil
	default:
		return nil, errUnknownCode
	}
}

// decodeEndpointUpdate decodes an update of the endpoints, which refers to a table that was sent before.
func (r *Reader) decodeEndpointUpdate(fields *cursor) (balance.Event, error) {
	kindCode := fields.uint8()
	fields.uint32() // the version of the list
	number := fields.uint16()
	if fields.short {
		return nil, errShortRecord
	}
	kind, known := updateKinds[kindCode]
	if !known {
		return nil, &UnknownValueError{Field: "kind of endpoint update", Value: uint16(kindCode)}
	}
	if kindCode == updateFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	endpoints, err := r.tables.get(number)
	if err != nil {
		return nil, err
	}
	return balance.EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil
}

// decodeRequest decodes the arrival of a request.
func decodeRequest(fields *cursor) balance.Request {
	request := balance.Request{ID: fields.requestID(), Tenant: int(fields.uint16())}
	workHint := fields.float64()
	flags := fields.uint16()
	if flags&flagHasWorkHint != 0 {
		request.WorkHint = workHint
	}
	request.ClientRetry = flags&flagClientRetry != 0
	request.Write = flags&flagWrite != 0
	request.StickyKey = fields.uint64()
	request.Remaining = fields.milliseconds()
	request.Class = int(fields.uint16())
	return request
}

// decodeStreamStarted decodes the first bytes of a response that is streamed.
func decodeStreamStarted(fields *cursor) balance.StreamStarted {
	return balance.StreamStarted{
		Request:  fields.requestID(),
		Attempt:  int(fields.uint8()),
		Endpoint: fields.endpointID(),
		Latency:  fields.milliseconds(),
	}
}

// decodeOutcome decodes the end of an attempt.
func (r *Reader) decodeOutcome(fields *cursor) (balance.Event, error) {
	outcome := balance.Outcome{
		Request:  fields.requestID(),
		Attempt:  int(fields.uint8()),
		Endpoint: fields.endpointID(),
	}
	resultCode := fields.uint16()
	outcome.Duration = fields.milliseconds()
	outcome.Finished = fields.uint8() != 0
	outcome.LoadReport = r.decodeLoadReport(fields)
	var err error
	outcome.Result, err = decodeResult(resultCode, fields)
	return outcome, err
}

// decodeHealthCheckResult decodes the end of a health check.
func (r *Reader) decodeHealthCheckResult(fields *cursor) (balance.Event, error) {
	result := balance.HealthCheckResult{Duration: fields.milliseconds()}
	resultCode := fields.uint16()
	result.Endpoint = fields.endpointID()
	result.LoadReport = r.decodeLoadReport(fields)
	var err error
	result.Result, err = decodeResult(resultCode, fields)
	return result, err
}

// decodeResult translates the code of a result that was read from fields. The code of a record that is cut short is
// not judged.
func decodeResult(code uint16, fields *cursor) (balance.Result, error) {
	result, known := results[code]
	if !known && !fields.short {
		return 0, &UnknownValueError{Field: "result", Value: code}
	}
	return result, nil
}

// decodeLoadReport reads a load report, which is valid until the next record.
func (r *Reader) decodeLoadReport(fields *cursor) []float32 {
	r.report = r.report[:0]
	for count := fields.uint8(); count > 0; count-- {
		r.report = append(r.report, fields.float32())
	}
	return r.report
}
