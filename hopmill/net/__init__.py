"""The courier on real sockets: network, journal and clock around the decision core."""
