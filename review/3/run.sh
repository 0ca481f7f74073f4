#!/bin/bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../common/run.sh" 3
