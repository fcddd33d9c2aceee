"""Clients of the platform's services, of model engines and of plain services."""
