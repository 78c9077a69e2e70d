"""Exit statuses and limits of the command-line tool."""

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

REQUEST_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 8_000_000

EXIT_STATUS_HELP = (
    "Exit status: 0 success; 1 the document is invalid, the change would be refused or the "
    "daemon did not answer; 2 wrong usage."
)
