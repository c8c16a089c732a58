package main

// The import links the daemon against the system's C library, as the platform requires.

import "C"
