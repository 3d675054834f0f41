"""Connect the libraries to the daemon bilberryturnd."""
