package main

// Links the daemon against the system's C library, as the platform asks for.

import "C"
