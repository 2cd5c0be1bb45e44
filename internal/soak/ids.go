package soak

import "fmt"

// The IDs of endpoints are "s-0", "s-1" and so on, those of sidecars "n0", "n1" and so on. They are part of the texts of
// plans, on which the checksum of TestSeedsKeepTheirPlans depends.

// EndpointID identifies an endpoint of a run over all its incarnations, as in the endpoint list.
type EndpointID string

// SidecarID identifies a sidecar of a run over all its incarnations.
type SidecarID string

// endpointID returns the ID of the endpoint with a number, counted from 0.
func endpointID(number int) EndpointID { return EndpointID(fmt.Sprintf("s-%d", number)) }

// sidecarID returns the ID of the sidecar with a number, counted from 0.
func sidecarID(number int) SidecarID { return SidecarID(fmt.Sprintf("n%d", number)) }
