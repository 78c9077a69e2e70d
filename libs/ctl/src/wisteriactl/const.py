"""Exit statuses and limits of the command-line tool."""

EXIT_HOLDS = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 8_000_000

EXIT_STATUS_HELP = (
    "Exit status: 0 it holds; 1 the document is invalid, the change would be refused or the "
    "daemon gave no answer; 2 wrong usage."
)
