"""Wire the libraries to the daemon bilberryturnd."""
