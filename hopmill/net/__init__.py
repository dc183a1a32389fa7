"""The courier on real sockets: network, journal and clock around the policy. No decisions are made here."""
