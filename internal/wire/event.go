package wire

import "cindersaddle/balance"

// decodeEvent decodes the fields of a record that contains an event of package balance.
func (r *Reader) decodeEvent(code uint16, fields *cursor) (balance.Event, error) {
	switch code {
	case recordCodeRequest:
		return decodeRequest(fields), nil
	case recordCodeTimerFired:
		return balance.TimerFired{Token: fields.readUint64()}, nil
	case recordCodeStreamStarted:
		return decodeStreamStarted(fields), nil
	case recordCodeEndpointUpdate:
		return r.decodeEndpointUpdate(fields)
	case recordCodeHealthCheckResult:
		return r.decodeHealthCheckResult(fields)
	case recordCodeAttemptEnded:
		return r.decodeOutcome(fields)
	case recordCodeClientGone:
		return balance.ClientGone{Request: fields.readRequestID()}, nil
	default:
		return nil, errUnknownCode
	}
}

// decodeEndpointUpdate decodes an update of the endpoint list. The endpoints are in a server table sent earlier.
func (r *Reader) decodeEndpointUpdate(fields *cursor) (balance.Event, error) {
	kindCode := fields.readUint8()
	fields.readUint32() // version of the list, not used
	number := fields.readUint16()
	if fields.truncated {
		return nil, errTruncatedRecord
	}
	kind, known := updateKindsByCode[kindCode]
	if !known {
		return nil, &UnknownValueError{Field: "kind of endpoint update", Value: uint16(kindCode)}
	}
	if kindCode == kindCodeFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	endpoints, err := r.serverTables.get(number)
	if err != nil {
		return nil, err
	}
	return balance.EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil
}

// decodeRequest decodes a new request.
func decodeRequest(fields *cursor) balance.Request {
	request := balance.Request{ID: fields.readRequestID(), Tenant: int(fields.readUint16())}
	workHint := fields.readFloat64()
	flags := fields.readUint16()
	if flags&flagHasWorkHint != 0 {
		request.WorkHint = workHint
	}
	request.ClientRetry = flags&flagClientRetry != 0
	request.Write = flags&flagWrite != 0
	request.StickyKey = fields.readUint64()
	request.Remaining = fields.readMilliseconds()
	request.Class = int(fields.readUint16())
	return request
}

// decodeStreamStarted decodes the start of a streamed response.
func decodeStreamStarted(fields *cursor) balance.StreamStarted {
	return balance.StreamStarted{
		Request:  fields.readRequestID(),
		Attempt:  int(fields.readUint8()),
		Endpoint: fields.readEndpointID(),
		Latency:  fields.readMilliseconds(),
	}
}

// decodeOutcome decodes the end of an attempt.
func (r *Reader) decodeOutcome(fields *cursor) (balance.Event, error) {
	outcome := balance.Outcome{
		Request:  fields.readRequestID(),
		Attempt:  int(fields.readUint8()),
		Endpoint: fields.readEndpointID(),
	}
	resultCode := fields.readUint16()
	outcome.Duration = fields.readMilliseconds()
	outcome.Finished = fields.readUint8() != 0
	outcome.LoadReport = r.decodeLoadReport(fields)
	var err error
	outcome.Result, err = decodeResult(resultCode, fields)
	return outcome, err
}

// decodeHealthCheckResult decodes the end of a health check.
func (r *Reader) decodeHealthCheckResult(fields *cursor) (balance.Event, error) {
	result := balance.HealthCheckResult{Duration: fields.readMilliseconds()}
	resultCode := fields.readUint16()
	result.Endpoint = fields.readEndpointID()
	result.LoadReport = r.decodeLoadReport(fields)
	var err error
	result.Result, err = decodeResult(resultCode, fields)
	return result, err
}

// decodeResult converts the code of a result. It does not validate the code if the record is truncated: decodeRecord
// reports such a record as truncated.
func decodeResult(code uint16, fields *cursor) (balance.Result, error) {
	result, known := resultsByCode[code]
	if !known && !fields.truncated {
		return 0, &UnknownValueError{Field: "result", Value: code}
	}
	return result, nil
}

// decodeLoadReport decodes a load report. The slice is valid until the next load report is decoded.
func (r *Reader) decodeLoadReport(fields *cursor) []float32 {
	r.loadReport = r.loadReport[:0]
	for count := fields.readUint8(); count > 0; count-- {
		r.loadReport = append(r.loadReport, fields.readFloat32())
	}
	return r.loadReport
}
