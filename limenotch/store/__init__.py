"""What a sidecar keeps on disk of the fleet's log. Knows nothing of the fleet; imported only where one is on."""
