"""The version of the product that --version prints."""

VERSION = "0.1.0"
