"""Route language-model traffic with service levels and priorities."""

__version__ = "0.1.0"
