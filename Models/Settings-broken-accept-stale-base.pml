/* The checker must find the fault of this variant. */
#define BROKEN_ACCEPT_STALE_BASE
#include "Settings.pml"
