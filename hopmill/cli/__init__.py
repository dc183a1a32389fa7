"""The commands. app.py names them; each reads the rest when it runs."""
