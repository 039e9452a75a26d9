"""`python -m lockspoke.simulator` answers the platform's simulator on standard input and output."""

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
