"""Stand-ins and processes that the scripts of the review share."""
