"""The commands: app.py defines them, and each imports the rest only when it runs."""
