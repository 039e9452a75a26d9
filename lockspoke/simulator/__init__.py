"""The balancer on the wire of the operators' simulator."""
