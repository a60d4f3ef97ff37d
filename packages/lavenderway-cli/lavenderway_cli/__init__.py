"""The operators' command line of lavenderway."""
