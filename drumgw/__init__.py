"""drumgw: an admission gateway for services sold by plan."""
