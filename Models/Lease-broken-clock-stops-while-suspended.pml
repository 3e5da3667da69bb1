/* The checker must find the fault of this variant. */
#define BROKEN_CLOCK_STOPS_WHILE_SUSPENDED
#include "Lease.pml"
