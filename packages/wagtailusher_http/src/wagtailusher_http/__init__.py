"""HTTP on both sides as asyncio tasks over h11."""
