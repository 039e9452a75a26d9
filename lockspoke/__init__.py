"""A gateway for fleets of language-model replicas, with client fronts, a core and a load balancer."""
