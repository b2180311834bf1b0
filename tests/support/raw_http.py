"""Reads answers to requests that no HTTP library would send."""


def read_answer(file):
    """Return the status and body of the next answer on a connection's file."""
    status = int(file.readline().split()[1])
    length = 0
    while line := file.readline().strip():
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return status, file.read(length)
