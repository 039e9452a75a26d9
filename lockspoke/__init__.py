"""A gateway for fleets of language-model replicas: fronts for clients, one core, a load balancer."""
