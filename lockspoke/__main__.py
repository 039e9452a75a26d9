"""Run the gateway: `python -m lockspoke`."""

import sys

from lockspoke.lifecycle.program import main

if __name__ == "__main__":
    sys.exit(main())
